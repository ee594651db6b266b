/** @file
 * An execution: the leader's view of a job whose tasks may still exist, with its tasks, and the chunks in
 * which they are recorded. The leader's modules share the data; comments name the module that changes a
 * field. execution_table.h creates and frees executions.
 */
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

/** A task of an execution: whether it is done, and its attempt. */
struct ow_task {
    bool is_done;               /**< it has a result; of a gang: any member has */
    struct ow_attempt *attempt; /**< not owned; NULL: none may exist */
};

/** Consecutive tasks of an execution that are recorded together: recorder.c and the other modules of
 * core/records. */
struct ow_chunk {
    struct ow_job *job;
    uint32_t index;                       /**< its position in `ow_execution.chunks` */
    struct ow_record_value *record_value; /**< the value that holds its record; NULL: none yet */
    uint64_t last_attempt;                /**< the highest attempt number used */
    bool is_dirty;                        /**< it differs from its record */
    bool is_writing;                      /**< it is in the transaction in flight */
};

/** The execution of a job. Times are by the core's clock, in seconds. */
struct ow_execution {
    struct ow_job *job;
    double accepted_at; /**< when the job was accepted */

    /* Tasks: attempt_table.c, attempt_end.c and reconciliation.c. */
    struct ow_task *tasks; /**< `count` of them, owned */
    uint32_t count;
    uint32_t done;           /**< how many of them are done */
    uint32_t running;        /**< how many of them have an attempt that runs */
    GPtrArray *attempts;     /**< struct ow_attempt that may exist, in no order */
    uint32_t pending_cursor; /**< lower bound of the indices of pending tasks: also bind.c */

    /* Records. */
    struct ow_chunk *chunks; /**< `chunk_count` of them, owned */
    uint32_t chunk_count;
    uint32_t chunk_tasks; /**< of each chunk but the last */
    bool is_finishing;    /**< its final record is queued or in flight */

    /* Scheduling. */
    bool is_aged;         /**< it is old, whether or not tasks have started: promotion.c, in each cycle */
    bool is_starving;     /**< none of its tasks has started for too long: promotion.c, in each cycle */
    double ready_at;      /**< no task is started before this time */
    double pending_since; /**< since when a task is pending; 0: none is: queue.c */
    double separation_check_at;         /**< next check of the spread of its replicas: replica_separation.c */
    struct ow_reservation *reservation; /**< of a waiting gang, owned; NULL: none: reservation.c */

    /* Faults: machine_faults.c. */
    unsigned failures;            /**< consecutive errors of its tasks, on any machine */
    double failed_machines_until; /**< when `failed_machines` expires */
    GHashTable *failed_machines;  /**< set of struct ow_machine *, not owned, where a task of it failed */
};

/** Whether it is a service. Its replicas are never done: one that ends for any cause is started again. */
static inline bool ow_execution_is_service(const struct ow_execution *execution)
{
    return execution->job->spec->submission->kind == OW_KIND_SERVICE;
}

/** The chunk that records the task. */
static inline struct ow_chunk *ow_execution_chunk(const struct ow_execution *execution, uint32_t task)
{
    return &execution->chunks[task / execution->chunk_tasks];
}

/** Replaces the execution's chunks by fresh ones of `chunk_tasks` tasks. No chunk of it may be in a record
 * value or a write. */
void ow_execution_divide(struct ow_execution *execution, uint32_t chunk_tasks);
/** Tasks that are neither done nor have an attempt; 0 for a job that is over. */
uint32_t ow_execution_count_pending(const struct ow_execution *execution);
/** One more than the highest attempt number that any task of the execution has used. */
uint64_t ow_execution_next_attempt(const struct ow_execution *execution);

#endif
