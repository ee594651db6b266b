/**
 * @file
 * One attempt of a task on this machine: its state, and the process that runs it.
 *
 * States, as heartbeats tell them:
 *
 *     (new) --agent_task_start()--> RUNNING, under a supervisor
 *     (new) --agent_task_refuse()--> EXITED, with the cause of the refusal; it never ran
 *     RUNNING --agent_task_stop() with time for a checkpoint--> CHECKPOINTING
 *     RUNNING --agent_task_stop() without--> RUNNING, told to stop and about to be killed
 *     RUNNING, CHECKPOINTING --agent_task_poll() sees the end--> EXITED
 *
 * Invariant: there is a supervisor exactly while the state is RUNNING or CHECKPOINTING. A new attempt is
 * started or refused at once, before anybody else sees it.
 */
#ifndef OW_AGENT_TASK_H
#define OW_AGENT_TASK_H

#include "agent/incarnation.h"
#include "agent/supervisor.h"
#include "model/worker.h"
#include "wire/submission_json.h"

/** What the tasks of a machine run with, and where they are recorded. Nothing is owned. */
struct agent_task_context {
    const struct agent_incarnation *incarnation;
    const struct agent_lease *lease;
    const struct agent_history *history;
};

/** An attempt; owned by the list of tasks. */
struct agent_task {
    struct ow_task_status status;             /**< what heartbeats say of it */
    struct agent_supervisor *supervisor;      /**< owned; NULL: it has ended, or never began */
    struct wire_job_description *description; /**< owned; at least while there is a supervisor */
    bool is_stop_requested;
    bool may_checkpoint; /**< its job saves checkpoints, and no stop was too short for one */
};

/** An attempt that is neither started nor refused yet, of the task that the command names. */
struct agent_task *agent_task_new(const struct ow_worker_command *command);
/** Kills the task if it runs, waits until it is gone, and frees it. */
void agent_task_free(struct agent_task *task);
/** Whether it is an attempt, whichever, of the task that the command names. */
bool agent_task_is_of(const struct agent_task *task, const struct ow_worker_command *command);
/** Starts the task, which then owns the description. Where no process is to be had it has failed. */
void agent_task_start(struct agent_task *task, const struct agent_task_context *context,
                      struct wire_job_description *description);
/** Ends the attempt before it has begun. */
void agent_task_refuse(struct agent_task *task, const struct agent_task_context *context,
                       enum ow_exit_cause cause);
/** Stops the task if it runs: in `grace_s` if it can save a checkpoint in that time, and else at once. */
void agent_task_stop(struct agent_task *task, double grace_s);
/** Looks whether the task has ended; true if it has since the last call. */
bool agent_task_poll(struct agent_task *task, const struct agent_task_context *context);

#endif
