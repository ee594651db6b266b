/**
 * @file
 * The tasks of one machine: carries out the commands of controllers, and refuses launches for which the
 * machine lacks resources.
 *
 * Invariants: at most one attempt of a task runs at a time; the needs of running tasks never exceed the
 * machine's resources; heartbeats report an attempt until a controller clears it, which takes effect only
 * after it has ended. Commands are idempotent.
 */
#ifndef OW_AGENT_TASKS_H
#define OW_AGENT_TASKS_H

#include "agent/history.h"
#include "agent/incarnation.h"
#include "agent/lease.h"
#include "agent/options.h"

#include <glib.h>
#include <stdbool.h>

/** The attempts on a machine that are running, or ended and not yet cleared. */
typedef struct agent_tasks agent_tasks;

/** Creates an empty list of tasks. All parameters must outlive it. */
struct agent_tasks *agent_tasks_new(const struct agent_options *options,
                                    const struct agent_incarnation *incarnation,
                                    const struct agent_lease *lease, const struct agent_history *history);
/** Kills every task, waits until all have ended, and frees the list. */
void agent_tasks_free(struct agent_tasks *tasks);
/** Carries out commands (struct ow_worker_command), in order. */
void agent_tasks_apply(struct agent_tasks *tasks, const GArray *commands);
/** Checks which tasks have ended; true if any has since the last call. */
bool agent_tasks_poll(struct agent_tasks *tasks);
/** Kills and removes every task; all have ended when it returns. */
void agent_tasks_kill_all(struct agent_tasks *tasks);
/** Whether any task was running at the last agent_tasks_poll(). */
bool agent_tasks_has_running(const struct agent_tasks *tasks);
/** Appends the status of every attempt, as reported in heartbeats, to `out` (struct ow_task_status). */
void agent_tasks_append_status(const struct agent_tasks *tasks, GArray *out);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(agent_tasks, agent_tasks_free)

#endif
