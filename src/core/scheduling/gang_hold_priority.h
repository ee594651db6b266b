/** @file
 * Ours, not the paper's: which waiting gang keeps its holds from the gangs behind it, so that it starts in
 * time.
 *
 * Input: the class's SLOs, run times and members. Result: at most one gang a scheduling cycle has priority.
 */
#ifndef OW_CORE_SCHEDULING_GANG_HOLD_PRIORITY_H
#define OW_CORE_SCHEDULING_GANG_HOLD_PRIORITY_H

#include <stdbool.h>

struct ow_execution;
struct ow_leader;

/** Whether the gang has priority for what it holds in this cycle. To be asked in queue order: the first gang
 * that qualifies has it, and every later call in the cycle is answered with false. */
bool ow_gang_hold_priority_claim(struct ow_leader *leader, const struct ow_execution *execution);

#endif
