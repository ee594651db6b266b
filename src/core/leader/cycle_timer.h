/** @file
 * When the leader runs a scheduling cycle: soon after something has changed, and at regular intervals.
 */
#ifndef OW_CORE_LEADER_CYCLE_TIMER_H
#define OW_CORE_LEADER_CYCLE_TIMER_H

struct ow_leader;

/** Runs a scheduling cycle if one is due. The leader must be ready. */
void ow_cycle_timer_tick(struct ow_leader *leader);

#endif
