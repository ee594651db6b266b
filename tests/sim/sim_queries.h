/**
 * @file
 * Queries of the actual state of the simulated cluster: the tasks on its machines, and the records in its
 * key-value store, independently of what controllers believe. The predicates are for sim_run_until().
 */
#ifndef OW_TESTS_SIM_QUERIES_H
#define OW_TESTS_SIM_QUERIES_H

#include <stdbool.h>

struct sim_cluster;
struct sim_machine;
struct sim_requirements;

/** The number of launches executed by the workers of all machines. */
unsigned sim_count_launches(const struct sim_cluster *cluster);
/** The number of attempts of a job on this machine that have not exited. */
unsigned sim_count_running_on(const struct sim_machine *machine, const char *job);
/** The number of attempts of the job on all machines that have not exited. */
unsigned sim_count_running(struct sim_cluster *cluster, const char *job);
/** The number of attempts of the job in one zone that have not exited. */
unsigned sim_count_running_in_zone(struct sim_cluster *cluster, const char *job, const char *zone);
/** The first machine that runs a task of the job, or NULL. */
struct sim_machine *sim_find_machine_of_job(struct sim_cluster *cluster, const char *job);
/** Whether a machine that has been up for more than 10 s has room for all tasks of the job. */
bool sim_has_room_for(struct sim_cluster *cluster, const struct sim_requirements *requirements);

/** Predicate: whether the job of this id is recorded as done. */
bool sim_job_is_done(struct sim_cluster *cluster, const void *job);
/** Predicate: whether a task of the job with this id runs. */
bool sim_job_is_running(struct sim_cluster *cluster, const void *job);
/** Predicate: whether no task of the job of this id runs. */
bool sim_job_is_not_running(struct sim_cluster *cluster, const void *job);
/** Predicate: whether three tasks of the job of this id run. */
bool sim_job_runs_three_tasks(struct sim_cluster *cluster, const void *job);
/** Predicate: whether "run-1" runs on another machine than this struct sim_machine. */
bool sim_job_runs_on_another(struct sim_cluster *cluster, const void *machine);
/** Predicate: whether this struct sim_machine is deleted. */
bool sim_machine_is_deleted(struct sim_cluster *cluster, const void *machine);

/** The progress record "<job>/<chunk>" as JSON, to be freed by the caller; NULL: there is none. */
char *sim_read_progress_record(struct sim_cluster *cluster, const char *name);
/** The value of the key in the key-value store, which owns it; NULL: there is none. */
const char *sim_read_value(struct sim_cluster *cluster, const char *key);

#endif
