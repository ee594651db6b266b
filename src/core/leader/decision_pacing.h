/** @file
 * Keeps decisions (scheduling cycles and scale-out) from taking the processor's time away from heartbeats.
 * While the process can't keep up with what arrives, every step that made decisions is followed by a pause
 * without them that is proportional to its duration. Decides nothing else, and does nothing on a process that
 * keeps up.
 */
#ifndef OW_CORE_LEADER_DECISION_PACING_H
#define OW_CORE_LEADER_DECISION_PACING_H

#include <stdbool.h>

struct ow_leader;

/** Called at the start of each tick: begins the pause if the last step made decisions. */
void ow_decision_pacing_tick(struct ow_leader *leader);
/** Whether decisions may be made in this step. */
bool ow_decision_pacing_allows(const struct ow_leader *leader);
/** Notes that this step makes decisions. */
void ow_decision_pacing_note(struct ow_leader *leader);

#endif
