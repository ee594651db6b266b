/* A small world for the core: a fake clock, a state service, a cloud and workers, all scripted.
 * Whatever a worker does wrong in it is recorded as a broken rule. */
#ifndef OW_TESTS_WORLD_H
#define OW_TESTS_WORLD_H

#include "core/core.h"

#include <stdbool.h>

enum { WORLD_CONTROLLERS = 3 };

struct world_task {
    char job[OW_ID_MAX + 1];
    uint32_t task;
    uint64_t attempt;
    enum ow_phase phase;
    enum ow_cause cause;
    bool saved;
    double phase_at; /* when it changes next */
};

struct world_machine {
    char name[32], addr[32], type[16], zone[16];
    bool spot, gone, cut, hangs; /* cut: nothing gets through; hangs: it does nothing at all */
    bool sick;
    bool unresponsive;      /* its reports arrive; answers and commands do not reach it */
    bool stopped_reporting; /* it reaches no controller; commands reach it */
    int only_controller;    /* cut off from every other controller; -1: from none */
    double up_at;
    uint64_t session, seq, token;
    double notice_s;
    double report_at, renewed_at, sent_at;
    bool report_busy;
    int controller; /* where it reports */
    GArray *tasks;  /* struct world_task */
    unsigned starts, forgets;
};

/* What a submission asks for, as the machines' side checks it. */
struct world_wish {
    char team[16], zone[16];
    uint32_t tasks;
    double cpus;
    bool one_zone, spread, spot, service;
};

struct world_announcement {
    enum ow_job_state state;
    double at;
};

struct world_answer {
    uint64_t request;
    int status;
    enum ow_job_state state;
    int retry_after_s;
    char *reason;
};

struct world {
    double now;
    struct ow_settings settings[WORLD_CONTROLLERS];
    struct ow_rules rules;
    struct ow_core *cores[WORLD_CONTROLLERS]; /* NULL: down */
    uint64_t controller_nonce[WORLD_CONTROLLERS], nonce;
    /* the state service */
    GHashTable *keys;   /* key -> struct world_value */
    GArray *log;        /* struct world_event */
    GHashTable *leases; /* id -> double *: ends at */
    uint64_t revision, last_lease;
    bool state_down, cloud_down, hold_txns, lose_txn_answers;
    double state_slow_s; /* its answers take so much longer, those to `slow_controller` or, if that is -1, to
                            all */
    int slow_controller;
    bool silent_watches; /* open watches tell nothing before their time is over */
    bool peers_cut;      /* nothing gets from controller to controller */
    bool keep_held;      /* what is held stays held */
    unsigned hold_next;  /* so many of the next transactions of `hold_controller` are held */
    int hold_controller;
    bool old_controller[WORLD_CONTROLLERS]; /* of the first format: its messages say so, and it takes others'
                                             * for no newer
                                             */
    double value_kb;                        /* what the state service takes now */
    unsigned txn_ops;
    unsigned too_large;      /* writes that it has refused for that */
    int denied_controller;   /* the state service answers it 503; -1: none */
    int isolated_controller; /* neither the state service nor other controllers are in its reach; -1: none */
    int lonely_controller;   /* no worker is in its reach, nor it in theirs; -1: none */
    GPtrArray *held;         /* transactions not yet carried out */
    GPtrArray *follows;      /* open watches */
    unsigned txns;
    unsigned state_requests, state_changes, cloud_calls, directs; /* counted work */
    GPtrArray *machines;
    GHashTable *machines_by_name; /* and by address */
    GHashTable *started_on;       /* "<job>/<task>" -> where it was started last */
    unsigned rented;
    unsigned capacity; /* machines that can still be rented */
    GArray *late;      /* direct commands that a cut holds back */
    bool hold_directs;
    bool no_sockets; /* controllers have none left for commands of their own */
    double run_s;
    GPtrArray *queue;      /* events on their way to cores */
    GHashTable *answers;   /* request -> struct world_answer */
    GHashTable *wishes;    /* job -> struct world_wish */
    GHashTable *announced; /* job -> struct world_announcement: how it ended, as its user heard */
    uint64_t last_request;
    GString *broken; /* every rule broken, in words */
};

struct world *world_new(void);
/* All controllers and so many large machines in one zone, some seconds after the start. */
struct world *world_with_machines(int machines);
void world_free(struct world *w);
/* Ends the test: no rule may have been broken. */
void world_finish(struct world *w);
struct world_machine *world_add_machine(struct world *w, const char *name, const char *type, const char *zone,
                                        bool spot);
/* So many ordinary large ones in one zone, named m-0, m-1 and so on. */
void world_add_machines(struct world *w, int machines);
struct world_machine *world_machine(struct world *w, const char *name);
void world_start_controller(struct world *w, int controller);
void world_kill_controller(struct world *w, int controller);
/* The link from one controller to another breaks, and nobody listens there. */
void world_lose_link(struct world *w, int controller, int lost);
void world_run(struct world *w, double seconds);
/* Runs until the predicate holds; false if it does not within the time. */
bool world_until(struct world *w, double seconds, bool (*holds)(struct world *w, const void *what),
                 const void *what);
/* The controller that leads, or -1. */
int world_leader(const struct world *w);

/* Requests of users to a controller; the answer comes while the world runs. */
/* A report that comes late or is made up, to a controller. */
void world_report(struct world *w, int controller, const struct world_machine *machine, uint64_t seq,
                  uint64_t token);
/* What the machine reported last, or would have: to be sent later as a copy, which takes it over. */
struct ow_report *world_last_report(const struct world_machine *machine);
void world_send_copy(struct world *w, int controller, struct ow_report *report);
/* The worker starts over with nothing: its numbers begin anew. */
void world_reboot(struct world *w, struct world_machine *machine);
uint64_t world_submit(struct world *w, int controller, struct ow_submission *submission);
/* A submission of which nothing but the id can be read. */
uint64_t world_submit_malformed(struct world *w, int controller, const char *id);
uint64_t world_poll(struct world *w, int controller, const char *id);
uint64_t world_cancel(struct world *w, int controller, const char *id);
const struct world_answer *world_answer(struct world *w, uint64_t request);
/* The status of the answer; 0: there is none yet. */
int world_status(struct world *w, uint64_t request);
/* Asks every second until a controller says how the job stands, and tells it. */
int world_job_state(struct world *w, const char *id);

struct ow_submission *world_job(const char *id, uint32_t tasks, double cpus);
struct ow_submission *world_service(const char *id, uint32_t replicas, double cpus);
struct ow_submission *world_gang(const char *id, uint32_t tasks, double cpus);

void world_set_team(struct ow_submission *submission, const char *team);

/* The machine that runs the job, or NULL. */
struct world_machine *world_where(struct world *w, const char *job);
/* What workers hold now. */
unsigned world_running(struct world *w, const char *job);
bool world_all_done(struct world *w, const void *job);
bool world_some_running(struct world *w, const void *job);
bool world_none_running(struct world *w, const void *job);
/* Of a struct world_machine. */
bool world_is_gone(struct world *w, const void *machine);
/* Whether "run-1" runs, and not there. */
bool world_runs_on_another(struct world *w, const void *machine);
/* The progress record "<job>/<chunk>" wherever it stands, to be freed; NULL: there is none. */
char *world_progress(struct world *w, const char *name);
const char *world_value_text(struct world *w, const char *key);

#endif
