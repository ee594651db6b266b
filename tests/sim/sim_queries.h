/**
 * @file
 * What tests ask the simulated cluster: the tasks that are really on its machines, and the records that are
 * really in its key-value store. The predicates are for sim_run_until().
 */
#ifndef OW_TESTS_SIM_QUERIES_H
#define OW_TESTS_SIM_QUERIES_H

#include <stdbool.h>

struct sim_cluster;
struct sim_machine;
struct sim_requirements;

/** The launches that the workers of all machines have carried out. */
unsigned sim_count_launches(const struct sim_cluster *cluster);
/** The attempts of a job that have not exited on this machine. */
unsigned sim_count_running_on(const struct sim_machine *machine, const char *job);
/** The attempts of the job that have not exited on any machine. */
unsigned sim_count_running(struct sim_cluster *cluster, const char *job);
/** The same in one zone. */
unsigned sim_count_running_in_zone(struct sim_cluster *cluster, const char *job, const char *zone);
/** The first machine that runs a task of the job, or NULL. */
struct sim_machine *sim_find_machine_of_job(struct sim_cluster *cluster, const char *job);
/** Whether a machine that has been up for 10 s has room for the whole job. */
bool sim_has_room_for(struct sim_cluster *cluster, const struct sim_requirements *requirements);

/** Predicate: whether the job of this id is recorded as done. */
bool sim_job_is_done(struct sim_cluster *cluster, const void *job);
/** Predicate: whether a task of the job of this id runs. */
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
