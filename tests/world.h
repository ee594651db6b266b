/**
 * A simulated cluster for tests of the core: a clock, a key-value store, a cloud, users and workers, all
 * under the sharding of the test. The workers check the safety rules of docs/design.md from outside; whatever
 * breaks one is recorded as a violation, which world_finish() turns into a failure of the test.
 */
#ifndef OW_TESTS_WORLD_H
#define OW_TESTS_WORLD_H

#include "sharding/shard_manager.h"

#include <stdbool.h>

/** The number of controllers, named node-0, node-1 and so on. */
enum { WORLD_CONTROLLERS = 3 };

/** An attempt of a task on a machine. */
struct world_task {
    char job[OW_ID_MAX + 1];
    uint32_t task;
    uint64_t attempt;
    enum ow_phase phase;
    enum ow_cause cause;
    bool saved;
    double phase_at; /* the time of its next change of phase */
};

/** A machine and its worker. */
struct world_machine {
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
    uint64_t incarnation, seq, fencing_token;
    double reclaim_notice_s; /* the time until it is reclaimed, as it reports it; -1: none */
    double heartbeat_at, renewed_at, sent_at;
    bool heartbeat_busy; /* it waits for the response to a heartbeat */
    int controller;      /* the one that it reports to */
    GArray *tasks;       /* struct world_task */
    unsigned starts;     /* launches that it has carried out */
    unsigned clears;     /* results that it was told to clear */
};

/** What a submission requires, for the checks on the machines. */
struct world_requirements {
    char team[16], zone[16];
    uint32_t tasks;
    double cpus;
    bool one_zone, spread, spot, service;
};

/** The final state of a job as its user was first answered. */
struct world_announcement {
    enum ow_job_state state;
    double at;
};

/** A response to a user's request. */
struct world_answer {
    uint64_t request;
    int status;
    enum ow_job_state state;
    int retry_after_s;
    char *reason;
};

struct world;

/** Is told of every effect of a controller, before it is carried out. */
struct world_observer {
    void (*see)(void *data, const struct world *w, int controller, const struct ow_effect *effect);
    void *data;
};

/** The cluster. Tests change its fields to bring failures about; a controller's number of -1 means none. */
struct world {
    double now;
    struct ow_settings settings[WORLD_CONTROLLERS];
    struct ow_tuning tuning;
    struct ow_sharding_settings *sharding;                   /* NULL: the fleet is not divided into shards */
    struct ow_shard_manager *controllers[WORLD_CONTROLLERS]; /* NULL: down */
    bool frozen[WORLD_CONTROLLERS]; /* the process stands still; what is sent to it waits */
    double frozen_at[WORLD_CONTROLLERS];
    uint64_t controller_nonce[WORLD_CONTROLLERS], nonce;

    /* The key-value store. */
    GHashTable *keys;   /* key -> struct world_value */
    GArray *log;        /* struct world_event */
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
    bool old_controller[WORLD_CONTROLLERS]; /* runs the earlier version: it sends the first format, and does
                                             * not recognize newer ones */
    double value_kb;                        /* the current limit of a value's size */
    unsigned txn_ops;                       /* the current limit of a transaction's changes */
    unsigned too_large;                     /* transactions refused for exceeding the limits */
    int denied_controller;                  /* the key-value store answers it 503 */
    int isolated_controller;                /* reaches neither the key-value store nor other controllers */
    int workerless_controller;              /* no message passes between it and the workers */
    GPtrArray *held;                        /* delayed transactions */
    GPtrArray *follows;                     /* open watches */
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
    GHashTable *answers;      /* request -> struct world_answer */
    GHashTable *requirements; /* job -> struct world_requirements */
    GHashTable *announced;    /* job -> struct world_announcement */
    uint64_t last_request;
    struct world_observer observer; /* `see` is NULL: there is none */
    GString *violations;            /* every violation of a safety rule, as text */
};

/* ---- life of the cluster ---- */

/** A cluster without machines; no controller runs. */
struct world *world_new(void);
/** Sets the rates and limits of the largest deployments. */
void world_set_large_rates(struct world *w);
/** A cluster with all controllers and as many large machines in one zone, some seconds after the start. */
struct world *world_with_machines(int machines);
/** The same, with as many machines that can be provisioned. */
struct world *world_with_capacity(int machines, unsigned capacity);
/** The same, with four machines to rent, on which the replicas of the service "run-1" run. */
struct world *world_with_service(int machines, uint32_t replicas);
/** Divides a cluster of which no controller runs yet, into the shards "east" and "west". */
void world_divide(struct world *w);
/** A cluster divided into the shards "east" and "west", one for each zone, with as many machines in each. */
struct world *world_with_shards(int machines);
/** A cluster with one controller, and without machines. */
struct world *world_with_one_controller(void);
/** A cluster with one controller and as many large machines in one zone, some seconds after the start. */
struct world *world_with_one_controller_and_machines(int machines);
/** A cluster with as many controllers, and machines that alternate between two zones. */
struct world *world_with_controllers(int controllers, int machines);
void world_free(struct world *w);
/** Ends the test: fails if a safety rule was violated or a transaction was too large. */
void world_finish(struct world *w);
/** Runs the cluster for this time. */
void world_run(struct world *w, double seconds);
/** Runs until the predicate holds; false if it does not within the time. */
bool world_until(struct world *w, double seconds, bool (*holds)(struct world *w, const void *what),
                 const void *what);

/* ---- controllers ---- */

void world_start_controller(struct world *w, int controller);
/** Starts every controller that is down. */
void world_start_controllers(struct world *w);
void world_kill_controller(struct world *w, int controller);
/** Kills every controller that is up. */
void world_kill_controllers(struct world *w);
/** The link from one controller to another breaks. */
void world_lose_link(struct world *w, int controller, int lost);
/** The controller's process stands still, or goes on. */
void world_freeze(struct world *w, int controller);
void world_thaw(struct world *w, int controller);
/** The highest fencing token under which the controller leads; 0: it does not. */
uint64_t world_fencing_token(const struct world *w, int controller);
/** The controller that leads the shard of this index with the highest fencing token, or -1. */
int world_shard_leader(const struct world *w, guint shard);
/** The controller that leads, or -1. */
int world_leader(const struct world *w);
/** A controller that does not lead. */
int world_follower(const struct world *w);

/* ---- machines ---- */

struct world_machine *world_add_machine(struct world *w, const char *name, const char *type, const char *zone,
                                        bool spot);
/** Adds as many large machines in one zone, named "<prefix>-0", "<prefix>-1" and so on. */
void world_add_group(struct world *w, const char *prefix, int machines, const char *zone, bool spot);
/** Adds a group of the prefix "m" in the zone "east", without spot machines. */
void world_add_machines(struct world *w, int machines);
/** The machine of this name or address, or NULL. */
struct world_machine *world_machine(struct world *w, const char *name);
/** The machine of this index, in the order of creation. */
struct world_machine *world_machine_at(const struct world *w, guint index);
/** Deletes the machine with its tasks, as the cloud does. */
void world_delete_machine(struct world_machine *machine);
/** Restarts the worker without tasks: its sequence numbers start again. */
void world_reboot(struct world *w, struct world_machine *machine);
/** The launches that all machines have carried out. */
unsigned world_total_starts(const struct world *w);
/** The attempts of a job that have not exited on this machine. */
unsigned world_tasks_on(const struct world_machine *machine, const char *job);

/** Sends a controller a heartbeat without tasks, of this sequence number and fencing token. */
void world_heartbeat(struct world *w, int controller, const struct world_machine *machine, uint64_t seq,
                     uint64_t fencing_token);
/** A duplicate of the machine's last heartbeat. */
struct ow_heartbeat *world_last_heartbeat(const struct world_machine *machine);
/** Sends a controller the heartbeat, which it takes over. */
void world_send_copy(struct world *w, int controller, struct ow_heartbeat *heartbeat);

/* ---- users: each request returns its number; the response arrives while the cluster runs ---- */

/** Takes the submission over. */
uint64_t world_submit(struct world *w, int controller, struct ow_submission *submission);
/** A submission of which only the id can be parsed. */
uint64_t world_submit_malformed(struct world *w, int controller, const char *id);
uint64_t world_poll(struct world *w, int controller, const char *id);
uint64_t world_cancel(struct world *w, int controller, const char *id);
/** The response to the request, or NULL. */
const struct world_answer *world_answer(struct world *w, uint64_t request);
/** The status of the response; 0: there is none yet. */
int world_status(struct world *w, uint64_t request);
/** Polls every second until a controller answers the job's state, and returns that; -404: there is no such
 * job; -1: no answer in 30 s. */
int world_job_state(struct world *w, const char *id);
/** Submits the job to the first controller and waits until one of its tasks runs; returns its machine. */
struct world_machine *world_start_job(struct world *w, struct ow_submission *job);
/** The same; returns once the job has run for 3 s. */
struct world_machine *world_start_settled_job(struct world *w, struct ow_submission *job);
/** Starts the job "run-1" of one task that runs for 100 s; returns its machine. */
struct world_machine *world_start_long_job(struct world *w);
/** Submits an array of which every other task on each machine ends soon, so that the ranges of its progress
 * records can't merge. */
void world_submit_interleaved(struct world *w, const char *id, uint32_t tasks);

/** An array of the team "open", of standard rank, that may run on spot machines. */
struct ow_submission *world_job(const char *id, uint32_t tasks, double cpus);
/** An array that may run in one zone only. */
struct ow_submission *world_job_in(const char *id, const char *zone, uint32_t tasks);
/** Submits the job, which it takes over, and fails unless it is accepted within 3 s. */
void world_accept(struct world *w, int controller, struct ow_submission *job);
struct ow_submission *world_service(const char *id, uint32_t replicas, double cpus);
struct ow_submission *world_gang(const char *id, uint32_t tasks, double cpus);
void world_set_team(struct ow_submission *submission, const char *team);

/* ---- the state of jobs and records ---- */

/** A machine that runs a task of the job, or NULL. */
struct world_machine *world_where(struct world *w, const char *job);
/** The attempts of the job that have not exited on any machine. */
unsigned world_running(struct world *w, const char *job);
/** The same in one zone. */
unsigned world_running_in(struct world *w, const char *job, const char *zone);
/** Whether a machine that has been up for 10 s has room for the whole job. */
bool world_has_room_for(struct world *w, const struct world_requirements *requirements);
/** Predicates for world_until(), of a job's id. */
bool world_all_done(struct world *w, const void *job);
bool world_some_running(struct world *w, const void *job);
bool world_none_running(struct world *w, const void *job);
bool world_three_running(struct world *w, const void *job);
/** Predicate: whether this struct world_machine is deleted. */
bool world_is_gone(struct world *w, const void *machine);
/** Predicate: whether "run-1" runs on another machine than this struct world_machine. */
bool world_runs_on_another(struct world *w, const void *machine);
/** The progress record "<job>/<chunk>", to be freed, or NULL. */
char *world_progress(struct world *w, const char *name);
/** The value of the key in the key-value store, or NULL. */
const char *world_value_text(struct world *w, const char *key);

#endif
