/** @file
 * Hold priority: which waiting gang keeps its holds from the gangs behind it in the queue, so that it
 * starts within its SLO.
 *
 * Input: the class's SLOs and run times, and the members of its gangs. Result: at most one gang in a
 * scheduling cycle has priority.
 */
#ifndef OW_CORE_SCHEDULING_GANG_HOLD_PRIORITY_H
#define OW_CORE_SCHEDULING_GANG_HOLD_PRIORITY_H

#include <stdbool.h>

struct ow_execution;
struct ow_leader;

/** Claims hold priority for the gang; returns whether it has it. Must be called in queue order: the first
 * gang that qualifies gets it, and every later call in the cycle returns false. */
bool ow_gang_hold_priority_claim(struct ow_leader *leader, const struct ow_execution *execution);

#endif
