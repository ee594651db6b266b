/** @file
 * Detects that no worker reaches this leader while workers reach another controller.
 */
#ifndef OW_CORE_LEADER_CUTOFF_DETECTION_H
#define OW_CORE_LEADER_CUTOFF_DETECTION_H

#include <stdbool.h>

struct ow_leader;

/** Whether no machine has sent this leader any message for some heartbeat intervals while a peer receives
 * heartbeats. Then this controller is cut off from the workers, even if it reaches the key-value store. If no
 * peer receives heartbeats either, the fault is on the side of the workers, and another leader would not
 * help. */
bool ow_cutoff_detection_is_cut_off(const struct ow_leader *leader);

#endif
