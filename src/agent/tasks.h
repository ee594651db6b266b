/* The tasks of one machine: what was launched and refused, what runs and what has ended. It carries out the
 * commands of the controllers and decides nothing. */
#ifndef OW_AGENT_TASKS_H
#define OW_AGENT_TASKS_H

#include "agent/incarnation.h"
#include "agent/options.h"
#include "agent/supervisor.h"

struct agent_tasks;

/* All must outlive it. */
struct agent_tasks *agent_tasks_new(const struct agent_options *options,
                                    const struct agent_incarnation *incarnation,
                                    const struct agent_lease *lease, const struct agent_history *history);
/* Kills every task and frees all. */
void agent_tasks_free(struct agent_tasks *tasks);
/* Carries out struct ow_worker_command, in order. */
void agent_tasks_obey(struct agent_tasks *tasks, const GArray *commands);
/* Takes in which tasks have ended; true if any has. */
bool agent_tasks_poll(struct agent_tasks *tasks);
/* Kills and forgets every task; all are gone when it returns. */
void agent_tasks_forget_all(struct agent_tasks *tasks);
/* Whether any task runs. */
bool agent_tasks_any_running(const struct agent_tasks *tasks);
/* Appends what a heartbeat says of them to `out` (struct ow_task_status). */
void agent_tasks_status(const struct agent_tasks *tasks, GArray *out);

#endif
