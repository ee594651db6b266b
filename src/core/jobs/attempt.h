/** @file
 * An attempt at a task of an execution: plain data, which attempt_table.h creates and frees.
 */
#ifndef OW_CORE_JOBS_ATTEMPT_H
#define OW_CORE_JOBS_ATTEMPT_H

#include "model/worker.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_job;
struct ow_machine;

/** The state of an attempt, as known to the leader. */
enum ow_attempt_state {
    OW_ATTEMPT_PLANNED,   /**< its record is not committed: no launch may be sent */
    OW_ATTEMPT_COMMITTED, /**< recorded; no launch has been sent */
    OW_ATTEMPT_SENT,      /**< a launch has been sent and may have been executed */
    OW_ATTEMPT_REPORTED,  /**< a heartbeat has listed it */
    OW_ATTEMPT_INHERITED, /**< recorded by an earlier leader; no heartbeat has shown its state yet */
};

/** One attempt to run a task on a machine. It is kept until there is proof that the worker does not run it
 * and never will. */
struct ow_attempt {
    struct ow_job *job;
    uint32_t task;
    uint64_t number; /**< increases with each attempt at any task of the chunk */
    struct ow_machine *machine;
    uint64_t incarnation; /**< the worker's incarnation that it belongs to */
    enum ow_attempt_state state;
    enum ow_task_phase phase;      /**< from the last heartbeat; valid in state OW_ATTEMPT_REPORTED */
    uint64_t transaction_serial;   /**< of the transaction that carries its record */
    uint32_t heartbeat_generation; /**< of the last heartbeat that lists it */
    double placed_at;
    double running_at;    /**< 0: not yet seen running */
    bool not_preemptible; /**< started for a starving job, and therefore not preempted */
    bool is_stopping;     /**< its stop has been decided; the worker may not have ended it yet */
    double stop_grace_s;  /**< time that it has to save its work once it is stopped */
    double stop_at;       /**< when the stop was decided */
};

#endif
