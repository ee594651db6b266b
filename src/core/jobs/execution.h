/* Runs of jobs: the leader's view of a job whose tasks may still exist. execution.c owns runs, with their
 * tasks and chunks. */
#ifndef OW_CORE_JOBS_EXECUTION_H
#define OW_CORE_JOBS_EXECUTION_H

#include "core/jobs/job.h"
#include "model/submission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_attempt;
struct ow_record_value;
struct ow_reservation;

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

struct ow_execution {
    struct ow_job *job;
    struct ow_task *tasks;
    uint32_t count, done, running; /* tasks */
    GPtrArray *attempts;           /* struct ow_attempt that may exist */
    struct ow_chunk *chunks;
    uint32_t chunk_count;
    uint32_t chunk_tasks;               /* of each chunk but the last */
    uint32_t cursor;                    /* no pending task below it */
    bool finishing;                     /* its last record is queued or under way */
    bool aged;                          /* it is old, begun or not; set by each scheduling cycle */
    bool starves;                       /* nothing of it starts for too long; set by each scheduling cycle */
    double ready_at;                    /* not to be started before */
    double missing_since;               /* a task of it waits since then; 0: none does */
    double separate_at;                 /* service_service_moves.c: when its replicas are next looked at */
    unsigned failures;                  /* in a row, on several machines */
    double failed_machines_until;       /* when failed_machines expires */
    GHashTable *failed_machines;        /* set of struct ow_machine * where a task of it failed */
    struct ow_reservation *reservation; /* of a waiting gang; owned by reservation.c; NULL: none */
    double accepted_at;                 /* when the job was accepted, by the steady clock */
};

/* A service's replicas are never done: one that ends, for whatever cause, runs again. */
static inline bool ow_execution_is_service(const struct ow_execution *execution)
{
    return execution->job->spec->submission->kind == OW_KIND_SERVICE;
}

/* The chunk that records the task. */
static inline struct ow_chunk *ow_execution_chunk(const struct ow_execution *execution, uint32_t task)
{
    return &execution->chunks[task / execution->chunk_tasks];
}

/* Replaces the run's chunks by fresh ones of `chunk_tasks` tasks. No chunk of it may be in a record value or
   a write. */
void ow_execution_divide(struct ow_execution *execution, uint32_t chunk_tasks);
/* Tasks that are neither done nor have an attempt; 0 for a job that is over. */
uint32_t ow_execution_pending(const struct ow_execution *execution);
/* The lowest attempt number that no task of the run has used. */
uint64_t ow_execution_next_attempt(const struct ow_execution *execution);

#endif
