/**
 * @file
 * Runs the command of one task under a process of its own, the supervisor: the agent's side of it.
 *
 * The supervisor ends the task when the lease expires, when the agent is gone, and when the agent has told it
 * to. It is a process of its own so that this also holds while the agent stands still or is dead; what it
 * does is in supervisor_process.h. The agent and the supervisor talk through a shared page only.
 */
#ifndef OW_AGENT_SUPERVISOR_H
#define OW_AGENT_SUPERVISOR_H

#include "agent/supervisor_process.h"
#include "agent/task_end.h"

/** A supervisor that was started; owned by the task. */
struct agent_supervisor;

/** Starts a supervisor, which starts the task. What the command points to must live during this call. NULL if
 * no process or memory is to be had. */
struct agent_supervisor *agent_supervisor_start(const struct agent_task_command *command);
/** Asks the task to end (SIGTERM), and kills it after `grace_s`. A second call can only shorten the grace. */
void agent_supervisor_stop(struct agent_supervisor *supervisor, double grace_s);
/** How the task has ended; AGENT_END_NONE while it runs. Otherwise *status is its exit status, -1 after a
 * signal. */
enum agent_task_end agent_supervisor_poll(struct agent_supervisor *supervisor, int *status);
/** Kills the task if it still runs, waits until it is gone, and frees the supervisor. */
void agent_supervisor_free(struct agent_supervisor *supervisor);

#endif
