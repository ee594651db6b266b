/** @file
 * Bind: assigns a pending task to a machine. The launch is sent only after the record of the assignment has
 * committed.
 *
 * Input: a pending task and a machine with a slot for it. Result: an attempt, queued to be recorded.
 * Invariants: a task has at most one attempt; attempt numbers of a chunk only grow.
 */
#ifndef OW_CORE_SCHEDULING_BIND_H
#define OW_CORE_SCHEDULING_BIND_H

#include <stdint.h>

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** The first task that is not done and has no attempt, or the execution's `count` if there is none.
 * Advances the execution's cursor. */
uint32_t ow_bind_next_pending_task(struct ow_execution *execution);
/** Plans attempt `number` of the task on the machine and queues its record; the launch follows once the
 * record has committed. */
void ow_bind_task(struct ow_leader *leader, struct ow_execution *execution, uint32_t task, uint64_t number,
                  struct ow_machine *machine);

#endif
