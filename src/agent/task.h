/**
 * @file
 * An attempt of a task on this machine: its state and its supervisor.
 *
 * States, as reported in heartbeats:
 *
 *     (new) --agent_task_start()--> RUNNING, under a supervisor
 *     (new) --agent_task_refuse()--> EXITED, with the cause of the refusal; never run
 *     RUNNING --agent_task_stop() with time for a checkpoint--> CHECKPOINTING
 *     RUNNING --agent_task_stop() without--> RUNNING, about to be killed
 *     RUNNING, CHECKPOINTING --agent_task_poll() detects the end--> EXITED
 *
 * Invariant: an attempt has a supervisor if and only if its state is RUNNING or CHECKPOINTING. A new attempt
 * must be started or refused before its status is reported.
 */
#ifndef OW_AGENT_TASK_H
#define OW_AGENT_TASK_H

#include "agent/incarnation.h"
#include "agent/supervisor.h"
#include "model/worker.h"
#include "wire/description_json.h"

/** What all tasks of a machine share: the incarnation, the lease and the history. Nothing is owned. */
struct agent_task_context {
    const struct agent_incarnation *incarnation;
    const struct agent_lease *lease;
    const struct agent_history *history;
};

/** An attempt of a task; owned by struct agent_tasks. */
struct agent_task {
    struct ow_task_status status;             /**< as reported in heartbeats */
    struct agent_supervisor *supervisor;      /**< owned; NULL: the attempt has ended or was refused */
    struct wire_job_description *description; /**< owned; not NULL while there is a supervisor */
    bool is_stop_requested;
    bool may_checkpoint; /**< the job saves checkpoints, and every stop so far left time for one */
};

/** Creates the attempt that the command names; the caller must start or refuse it. */
struct agent_task *agent_task_new(const struct ow_worker_command *command);
/** Kills the task if it runs, waits until it has ended, and frees it. */
void agent_task_free(struct agent_task *task);
/** Whether this is any attempt of the task that the command names. */
bool agent_task_is_of(const struct agent_task *task, const struct ow_worker_command *command);
/** Starts the task and takes ownership of the description. If its supervisor can't be started, the attempt is
 * EXITED with OW_CAUSE_ERROR. */
void agent_task_start(struct agent_task *task, const struct agent_task_context *context,
                      struct wire_job_description *description);
/** Refuses a new attempt: it is EXITED with the cause. */
void agent_task_refuse(struct agent_task *task, const struct agent_task_context *context,
                       enum ow_exit_cause cause);
/** Stops the task if it runs: within `grace_s` if it can save a checkpoint in that time, otherwise
 * immediately. */
void agent_task_stop(struct agent_task *task, double grace_s);
/** Checks whether the task has ended; true if it has since the last call. */
bool agent_task_poll(struct agent_task *task, const struct agent_task_context *context);

#endif
