/* Attempts at the tasks of runs: one exists from its placement until it is proven gone. attempt.c owns them
 * and keeps the resource sums of machines and teams in step. */
#ifndef OW_CORE_JOBS_ATTEMPT_H
#define OW_CORE_JOBS_ATTEMPT_H

#include "core/jobs/job.h"
#include "model/worker.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_leader;
struct ow_machine;
struct ow_execution;

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
    uint64_t incarnation; /* the worker's incarnation that it belongs to */
    enum ow_attempt_state state;
    enum ow_task_phase phase;
    uint64_t in_write;             /* serial of the write that carries its record */
    uint32_t heartbeat_generation; /* of the last heartbeat that lists it */
    double placed_at, running_at;  /* running_at 0: not yet seen running */
    bool not_preemptible;          /* its job starved: it is not stopped again for others */
    bool stop;                     /* it is to be stopped */
    double stop_grace_s;           /* time to save its work */
    double stop_at;                /* when the stop was decided */
};

/* Creates an attempt in state OW_ATTEMPT_PLANNED and adds its needs to the sums of machine and team. */
struct ow_attempt *ow_attempt_new(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                                  uint64_t number, struct ow_machine *machine, uint64_t incarnation);
/* Ends and frees an attempt that is proven gone, or of which no launch ever left. `proof` is for the log.
   Other attempts of a gang may end with it. */
void ow_attempt_end(struct ow_leader *leader, struct ow_attempt *attempt, enum ow_exit_cause cause,
                    const char *proof);
/* Frees an attempt without any consequence for its task: an outdated record named it. */
void ow_attempt_unload(struct ow_leader *leader, struct ow_attempt *attempt);
/* Decides to stop the attempt with `grace_s` seconds to save its work; a shorter grace replaces a longer
   one. An attempt of which no launch has left ends, and is freed, at once. */
void ow_attempt_stop(struct ow_leader *leader, struct ow_attempt *attempt, double grace_s, const char *why);

#endif
