/* Runs of jobs, the attempts at their tasks, and what teams use. A run is the leader's view of a job whose
 * tasks may still exist; run.c owns runs and attempts and keeps the resource sums of machines and teams in
 * step with them. */
#ifndef OW_CORE_RUN_H
#define OW_CORE_RUN_H

#include "core/api/job.h"
#include "core/settings.h"
#include "core/types.h"

struct ow_leader;
struct ow_machine;
struct ow_record_value;
struct ow_reservation;

enum ow_attempt_state {
    OW_ATTEMPT_PLANNED,   /* its record is not committed: no launch may leave */
    OW_ATTEMPT_COMMITTED, /* recorded; no launch has left */
    OW_ATTEMPT_SENT,      /* a launch may be on its way or carried out */
    OW_ATTEMPT_SEEN,      /* the worker reports it */
    OW_ATTEMPT_INHERITED, /* recorded by an earlier leader; not accounted for yet */
};

/* One try to run a task on a machine. It exists until there is proof that the worker does not run it. */
struct ow_attempt {
    struct ow_job *job;
    uint32_t task;
    uint64_t number; /* grows with each attempt at any task of the chunk */
    struct ow_machine *machine;
    uint64_t session; /* the worker's session that it belongs to */
    enum ow_attempt_state state;
    enum ow_phase phase;
    uint64_t in_write;            /* serial of the write that carries its record */
    uint32_t report_generation;   /* of the last report that lists it */
    double placed_at, running_at; /* running_at 0: not yet seen running */
    bool not_preemptible;         /* its job starved: it is not stopped again for others */
    bool stop;                    /* it is to be stopped */
    double stop_grace_s;          /* time to save its work */
    double stop_at;               /* when the stop was decided */
};

struct ow_task {
    bool done;
    uint8_t failures;
    struct ow_attempt *attempt; /* NULL: none may exist */
};

/* Consecutive tasks of a run that are recorded together. */
struct ow_chunk {
    struct ow_job *job;
    uint32_t index;
    struct ow_record_value *record_value; /* where its record stands; NULL: nowhere yet */
    uint64_t last_attempt;                /* the highest attempt number used */
    bool dirty, writing;                  /* it differs from its record; it is in the write under way */
};

struct ow_run {
    struct ow_job *job;
    struct ow_task *tasks;
    uint32_t count, done, running; /* tasks */
    GPtrArray *attempts;           /* struct ow_attempt that may exist */
    struct ow_chunk *chunks;
    uint32_t chunk_count;
    uint32_t chunk_tasks;               /* of each chunk but the last */
    uint32_t cursor;                    /* no pending task below it */
    bool finishing;                     /* its last record is queued or under way */
    bool aged;                          /* it is old, begun or not; set by each scheduling pass */
    bool starves;                       /* nothing of it starts for too long; set by each scheduling pass */
    double ready_at;                    /* not to be started before */
    double missing_since;               /* a task of it waits since then; 0: none does */
    double part_at;                     /* service_replicas.c: when its replicas are next looked at */
    unsigned failures;                  /* in a row, on several machines */
    double bad_until;                   /* when bad_machines expires */
    GHashTable *bad_machines;           /* set of struct ow_machine * where a task of it failed */
    struct ow_reservation *reservation; /* of a waiting gang; owned by reservation.c; NULL: none */
    double accepted_at;                 /* when the job was accepted, by the steady clock */
};

/* A service's replicas are never done: one that ends, for whatever cause, runs again. */
static inline bool ow_run_is_service(const struct ow_run *run)
{
    return run->job->spec->submission->kind == OW_KIND_SERVICE;
}

/* The chunk that records the task. */
static inline struct ow_chunk *ow_run_chunk(const struct ow_run *run, uint32_t task)
{
    return &run->chunks[task / run->chunk_tasks];
}

/* ---- runs ---- */

/* Replaces the run's chunks by fresh ones of `chunk_tasks` tasks. No chunk of it may be in a record value or
   a write. */
void ow_run_divide(struct ow_run *run, uint32_t chunk_tasks);
/* The job's run, which is created if there is none; the leader owns it. The job must have its spec. */
struct ow_run *ow_run_find_or_add(struct ow_leader *leader, struct ow_job *job);
/* Frees the run with its attempts and reservation; its record values are rewritten without it. */
void ow_run_drop(struct ow_leader *leader, struct ow_run *run);
/* Stops all attempts of a run in one round, each with `grace_s` seconds to save its work. */
void ow_run_stop(struct ow_leader *leader, struct ow_run *run, double grace_s, const char *why);
/* Tasks that are neither done nor have an attempt; 0 for a job that is over. */
uint32_t ow_run_pending(const struct ow_run *run);
/* The lowest attempt number that no task of the run has used. */
uint64_t ow_run_next_attempt(const struct ow_run *run);
/* Whether the run's team is entitled and has waited long enough for others to be stopped for it. */
bool ow_run_claims(const struct ow_leader *leader, const struct ow_run *run);

/* ---- attempts ---- */

/* Creates an attempt in state OW_ATTEMPT_PLANNED and adds its needs to the sums of machine and team. */
struct ow_attempt *ow_attempt_new(struct ow_leader *leader, struct ow_run *run, uint32_t task,
                                  uint64_t number, struct ow_machine *machine, uint64_t session);
/* Ends and frees an attempt that is proven gone, or of which no launch ever left. `proof` is for the log.
   Other attempts of a gang may end with it. */
void ow_attempt_end(struct ow_leader *leader, struct ow_attempt *attempt, enum ow_cause cause,
                    const char *proof);
/* Frees an attempt without any consequence for its task: an outdated record named it. */
void ow_attempt_unload(struct ow_leader *leader, struct ow_attempt *attempt);
/* Decides to stop the attempt with `grace_s` seconds to save its work; a shorter grace replaces a longer
   one. An attempt of which no launch has left ends, and is freed, at once. */
void ow_attempt_stop(struct ow_leader *leader, struct ow_attempt *attempt, double grace_s, const char *why);

/* ---- teams; `team` is a name index ---- */

/* The team's settings, owned by the settings, or NULL if they name no such team. */
const struct ow_team_settings *ow_team_settings_of(const struct ow_leader *leader, int team);
/* What the team's attempts use. Valid until the next call. */
struct ow_amounts *ow_team_used(struct ow_leader *leader, int team);
/* Whether the amounts lie within what the team is guaranteed. A resource of which it is guaranteed none is
   left out; one that is guaranteed must be among them. */
bool ow_team_guarantees(const struct ow_leader *leader, int team, const struct ow_amounts *amounts);
/* Whether such tasks need anything of which the team is guaranteed some: only then guarantees concern them.
 */
bool ow_team_covers(const struct ow_leader *leader, int team, const struct ow_amounts *need);
/* Whether all unfinished jobs of the team together fit within its guarantee: they need not wait for others.
 */
bool ow_team_entitled(const struct ow_leader *leader, int team);
/* Whether the team uses more than its guarantee, which entitled teams may claim back. */
bool ow_team_borrows(struct ow_leader *leader, int team);
/* How many of `wanted` further tasks of a job its team's limit admits; 0 for a team without settings. */
uint32_t ow_team_admits(struct ow_leader *leader, const struct ow_spec *spec, uint32_t wanted);

#endif
