/**
 * A simulated cluster for tests of the core: a clock, a key-value store, a cloud, users and workers, all
 * under the sharding of the test. The workers check the safety rules of docs/design/safety.md from outside;
 * whatever breaks one is recorded as a violation, which sim_finish() turns into a failure of the test.
 */
#ifndef OW_TESTS_SIM_CLUSTER_H
#define OW_TESTS_SIM_CLUSTER_H

#include "model/effect.h"
#include "model/submission.h"
#include "model/worker.h"
#include "sharding/shard_manager.h"

#include <stdbool.h>

/** The number of controllers, named node-0, node-1 and so on. */
enum { SIM_CONTROLLERS = 3 };

/** An attempt of a task on a machine. */
struct sim_task {
    char job[OW_ID_MAX + 1];
    uint32_t task;
    uint64_t attempt;
    enum ow_task_phase phase;
    enum ow_exit_cause cause;
    bool saved;
    double phase_at; /* the time of its next change of phase */
};

/** A machine and its worker. */
struct sim_machine {
    char name[32], addr[32], type[16], zone[16];
    bool spot;
    bool gone;              /* deleted */
    bool cut;               /* partitioned: no message passes in either direction */
    bool hangs;             /* its worker makes no progress at all */
    bool faulty;            /* every task fails on it */
    bool unresponsive;      /* its heartbeats arrive; responses and commands do not reach it */
    bool stopped_reporting; /* its heartbeats reach no controller; commands reach it */
    int only_controller;    /* partitioned from every other controller; -1: from none */
    double up_at;           /* the end of its boot */
    uint64_t incarnation, sequence, fencing_token;
    double reclaim_notice_s; /* the time until it is reclaimed, as it reports it; -1: none */
    double heartbeat_at, renewed_at, sent_at;
    bool heartbeat_busy; /* it waits for the response to a heartbeat */
    int controller;      /* the one that it reports to */
    GArray *tasks;       /* struct sim_task */
    unsigned starts;     /* launches that it has carried out */
    unsigned clears;     /* results that it was told to clear */
};

/** What a submission requires, for the checks on the machines. */
struct sim_requirements {
    char team[16], zone[16];
    uint32_t tasks;
    double cpus;
    bool one_zone, spread, spot, service;
};

/** The final state of a job as its user was first answered. */
struct sim_announcement {
    enum ow_job_state state;
    double at;
};

/** A response to a user's request. */
struct sim_answer {
    uint64_t request;
    int status;
    enum ow_job_state state;
    int retry_after_s;
    char *reason;
};

struct sim_cluster;

/** Is told of every effect of a controller, before it is carried out. */
struct sim_observer {
    void (*see)(void *data, const struct sim_cluster *cluster, int controller,
                const struct ow_effect *effect);
    void *data;
};

/** The cluster. Tests change its fields to bring failures about; a controller's number of -1 means none. */
struct sim_cluster {
    double now;
    struct ow_settings settings[SIM_CONTROLLERS];
    struct ow_tuning tuning;
    struct ow_sharding_settings *sharding;                 /* NULL: the fleet is not divided into shards */
    struct ow_shard_manager *controllers[SIM_CONTROLLERS]; /* NULL: down */
    bool frozen[SIM_CONTROLLERS]; /* the process stands still; what is sent to it waits */
    double frozen_at[SIM_CONTROLLERS];
    uint64_t controller_nonce[SIM_CONTROLLERS], nonce;

    /* The key-value store. */
    GHashTable *keys;   /* key -> struct sim_value */
    GArray *log;        /* struct sim_event */
    GHashTable *leases; /* id -> double *: ends at */
    uint64_t revision, last_lease;
    bool store_down, cloud_down;
    bool hold_txns;        /* transactions are delayed while it is set */
    bool lose_txn_answers; /* transactions are applied, and their responses are lost */
    double store_slow_s;   /* additional latency of the key-value store */
    int slow_controller;   /* the only one with that latency; -1: all */
    guint changes_most;    /* a watch with more changes is answered as too large; 0: none is */
    bool silent_watches;   /* open watches report nothing before they time out */
    bool peers_cut;        /* no message passes between controllers */
    bool keep_held;        /* delayed transactions stay delayed */
    unsigned hold_next;    /* as many of the next transactions of `hold_controller` are delayed */
    int hold_controller;
    bool old_controller[SIM_CONTROLLERS]; /* runs the earlier version: it sends the first format, and does
                                           * not recognize newer ones */
    double value_kb;                      /* the current limit of a value's size */
    unsigned txn_ops;                     /* the current limit of a transaction's changes */
    unsigned too_large;                   /* transactions refused for exceeding the limits */
    int denied_controller;                /* the key-value store answers it 503 */
    int isolated_controller;              /* reaches neither the key-value store nor other controllers */
    int workerless_controller;            /* no message passes between it and the workers */
    GPtrArray *held;                      /* delayed transactions */
    GPtrArray *follows;                   /* open watches */
    unsigned txns;
    unsigned store_requests, store_mutations, cloud_calls, directs; /* the load on other services */

    /* Machines. */
    GPtrArray *machines;
    GHashTable *machines_by_name; /* and by address */
    GHashTable *started_on;       /* "<job>/<task>" -> the machine of its last start */
    unsigned provisioned;
    unsigned capacity; /* machines that can still be provisioned */
    GArray *late;      /* delayed direct commands */
    bool hold_directs; /* direct commands are delayed while it is set */
    bool no_sockets;   /* controllers have no free sockets for direct commands */
    double run_time_s; /* the run time of tasks */

    GPtrArray *queue;         /* events to be delivered to controllers */
    GHashTable *answers;      /* request -> struct sim_answer */
    GHashTable *requirements; /* job -> struct sim_requirements */
    GHashTable *announced;    /* job -> struct sim_announcement */
    uint64_t last_request;
    struct sim_observer observer; /* `see` is NULL: there is none */
    GString *violations;          /* every violation of a safety rule, as text */
};

/* ---- life of the cluster ---- */

/** A cluster without machines; no controller runs. */
struct sim_cluster *sim_new(void);
/** Sets the rates and limits of the largest deployments. */
void sim_set_large_rates(struct sim_cluster *cluster);
/** A cluster with all controllers and as many large machines in one zone, some seconds after the start. */
struct sim_cluster *sim_with_machines(int machines);
/** The same, with as many machines that can be provisioned. */
struct sim_cluster *sim_with_capacity(int machines, unsigned capacity);
/** The same, with four machines to rent, on which the replicas of the service "run-1" run. */
struct sim_cluster *sim_with_service(int machines, uint32_t replicas);
/** Divides a cluster of which no controller runs yet, into the shards "east" and "west". */
void sim_divide(struct sim_cluster *cluster);
/** A cluster divided into the shards "east" and "west", one for each zone, with as many machines in each. */
struct sim_cluster *sim_with_shards(int machines);
/** A cluster with one controller, and without machines. */
struct sim_cluster *sim_with_one_controller(void);
/** A cluster with one controller and as many large machines in one zone, some seconds after the start. */
struct sim_cluster *sim_with_one_controller_and_machines(int machines);
/** A cluster with as many controllers, and machines that alternate between two zones. */
struct sim_cluster *sim_with_controllers(int controllers, int machines);
void sim_free(struct sim_cluster *cluster);
/** Ends the test: fails if a safety rule was violated or a transaction was too large. */
void sim_finish(struct sim_cluster *cluster);
/** Runs the cluster for this time. */
void sim_run(struct sim_cluster *cluster, double seconds);
/** Runs until the predicate holds; false if it does not within the time. */
bool sim_until(struct sim_cluster *cluster, double seconds,
               bool (*holds)(struct sim_cluster *cluster, const void *what), const void *what);

/* ---- controllers ---- */

void sim_start_controller(struct sim_cluster *cluster, int controller);
/** Starts every controller that is down. */
void sim_start_controllers(struct sim_cluster *cluster);
void sim_kill_controller(struct sim_cluster *cluster, int controller);
/** Kills every controller that is up. */
void sim_kill_controllers(struct sim_cluster *cluster);
/** The link from one controller to another breaks. */
void sim_lose_link(struct sim_cluster *cluster, int controller, int lost);
/** The controller's process stands still, or goes on. */
void sim_freeze(struct sim_cluster *cluster, int controller);
void sim_thaw(struct sim_cluster *cluster, int controller);
/** The highest fencing token under which the controller leads; 0: it does not. */
uint64_t sim_fencing_token(const struct sim_cluster *cluster, int controller);
/** The controller that leads the shard of this index with the highest fencing token, or -1. */
int sim_shard_leader(const struct sim_cluster *cluster, guint shard);
/** The controller that leads, or -1. */
int sim_leader(const struct sim_cluster *cluster);
/** A controller that does not lead. */
int sim_follower(const struct sim_cluster *cluster);

/* ---- machines ---- */

struct sim_machine *sim_add_machine(struct sim_cluster *cluster, const char *name, const char *type,
                                    const char *zone, bool spot);
/** Adds as many large machines in one zone, named "<prefix>-0", "<prefix>-1" and so on. */
void sim_add_group(struct sim_cluster *cluster, const char *prefix, int machines, const char *zone,
                   bool spot);
/** Adds a group of the prefix "m" in the zone "east", without spot machines. */
void sim_add_machines(struct sim_cluster *cluster, int machines);
/** The machine of this name or address, or NULL. */
struct sim_machine *sim_machine(struct sim_cluster *cluster, const char *name);
/** The machine of this index, in the order of creation. */
struct sim_machine *sim_machine_at(const struct sim_cluster *cluster, guint index);
/** Deletes the machine with its tasks, as the cloud does. */
void sim_delete_machine(struct sim_machine *machine);
/** Restarts the worker without tasks: its sequence numbers start again. */
void sim_reboot(struct sim_cluster *cluster, struct sim_machine *machine);
/** The launches that all machines have carried out. */
unsigned sim_total_starts(const struct sim_cluster *cluster);
/** The attempts of a job that have not exited on this machine. */
unsigned sim_tasks_on(const struct sim_machine *machine, const char *job);

/** Sends a controller a heartbeat without tasks, of this sequence number and fencing token. */
void sim_heartbeat(struct sim_cluster *cluster, int controller, const struct sim_machine *machine,
                   uint64_t seq, uint64_t fencing_token);
/** A duplicate of the machine's last heartbeat. */
struct ow_heartbeat *sim_last_heartbeat(const struct sim_machine *machine);
/** Sends a controller the heartbeat, which it takes over. */
void sim_send_copy(struct sim_cluster *cluster, int controller, struct ow_heartbeat *heartbeat);

/* ---- users: each request returns its number; the response arrives while the cluster runs ---- */

/** Takes the submission over. */
uint64_t sim_submit(struct sim_cluster *cluster, int controller, struct ow_submission *submission);
/** A submission of which only the id can be parsed. */
uint64_t sim_submit_malformed(struct sim_cluster *cluster, int controller, const char *id);
uint64_t sim_poll(struct sim_cluster *cluster, int controller, const char *id);
uint64_t sim_cancel(struct sim_cluster *cluster, int controller, const char *id);
/** The response to the request, or NULL. */
const struct sim_answer *sim_answer(struct sim_cluster *cluster, uint64_t request);
/** The status of the response; 0: there is none yet. */
int sim_status(struct sim_cluster *cluster, uint64_t request);
/** Polls every second until a controller answers the job's state, and returns that; -404: there is no such
 * job; -1: no answer in 30 s. */
int sim_job_state(struct sim_cluster *cluster, const char *id);
/** Submits the job to the first controller and waits until one of its tasks runs; returns its machine. */
struct sim_machine *sim_start_job(struct sim_cluster *cluster, struct ow_submission *job);
/** The same; returns once the job has run for 3 s. */
struct sim_machine *sim_start_settled_job(struct sim_cluster *cluster, struct ow_submission *job);
/** Starts the job "run-1" of one task that runs for 100 s; returns its machine. */
struct sim_machine *sim_start_long_job(struct sim_cluster *cluster);
/** Submits an array of which every other task on each machine ends soon, so that the ranges of its progress
 * records can't merge. */
void sim_submit_interleaved(struct sim_cluster *cluster, const char *id, uint32_t tasks);

/** An array of the team "open", of standard rank, that may run on spot machines. */
struct ow_submission *sim_job(const char *id, uint32_t tasks, double cpus);
/** An array that may run in one zone only. */
struct ow_submission *sim_job_in(const char *id, const char *zone, uint32_t tasks);
/** Submits the job, which it takes over, and fails unless it is accepted within 3 s. */
void sim_accept(struct sim_cluster *cluster, int controller, struct ow_submission *job);
struct ow_submission *sim_service(const char *id, uint32_t replicas, double cpus);
struct ow_submission *sim_gang(const char *id, uint32_t tasks, double cpus);
void sim_set_team(struct ow_submission *submission, const char *team);

/* ---- the state of jobs and records ---- */

/** A machine that runs a task of the job, or NULL. */
struct sim_machine *sim_where(struct sim_cluster *cluster, const char *job);
/** The attempts of the job that have not exited on any machine. */
unsigned sim_running(struct sim_cluster *cluster, const char *job);
/** The same in one zone. */
unsigned sim_running_in(struct sim_cluster *cluster, const char *job, const char *zone);
/** Whether a machine that has been up for 10 s has room for the whole job. */
bool sim_has_room_for(struct sim_cluster *cluster, const struct sim_requirements *requirements);
/** Predicates for sim_until(), of a job's id. */
bool sim_all_done(struct sim_cluster *cluster, const void *job);
bool sim_some_running(struct sim_cluster *cluster, const void *job);
bool sim_none_running(struct sim_cluster *cluster, const void *job);
bool sim_three_running(struct sim_cluster *cluster, const void *job);
/** Predicate: whether this struct sim_machine is deleted. */
bool sim_is_gone(struct sim_cluster *cluster, const void *machine);
/** Predicate: whether "run-1" runs on another machine than this struct sim_machine. */
bool sim_runs_on_another(struct sim_cluster *cluster, const void *machine);
/** The progress record "<job>/<chunk>", to be freed, or NULL. */
char *sim_progress(struct sim_cluster *cluster, const char *name);
/** The value of the key in the key-value store, or NULL. */
const char *sim_value_text(struct sim_cluster *cluster, const char *key);

#endif
