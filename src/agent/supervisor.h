/**
 * @file
 * The agent's handle on the supervisor of a task, a separate process that runs the task's command.
 *
 * The supervisor ends the task when the lease expires, when the agent has exited, or when the agent requests
 * it. It is a separate process so that this also holds while the agent is suspended or dead; its side is in
 * supervisor_process.h. The agent and the supervisor communicate only through a shared page.
 */
#ifndef OW_AGENT_SUPERVISOR_H
#define OW_AGENT_SUPERVISOR_H

#include "agent/supervisor_process.h"
#include "agent/task_end.h"

/** A supervisor process that was started; owned by the task. */
struct agent_supervisor;

/** Starts a supervisor, which starts the task. `command` need only be valid during this call. NULL if the
 * process can't be forked or the memory can't be mapped. */
struct agent_supervisor *agent_supervisor_start(const struct agent_task_command *command);
/** Sends SIGTERM to the task, and kills it after a grace period of `grace_s`. A second call can only shorten
 * the grace period. */
void agent_supervisor_stop(struct agent_supervisor *supervisor, double grace_s);
/** How the task has ended; AGENT_END_NONE while it runs. Once it has ended, *status is its exit status, or -1
 * after a signal. */
enum agent_task_end agent_supervisor_poll(struct agent_supervisor *supervisor, int *status);
/** Kills the task if it still runs, waits until it has ended, and frees the supervisor. */
void agent_supervisor_free(struct agent_supervisor *supervisor);

#endif
