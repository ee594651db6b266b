/** @file
 * Whether this controller leads without hearing any worker, while another controller hears them.
 */
#ifndef OW_CORE_LEADER_CUTOFF_DETECTION_H
#define OW_CORE_LEADER_CUTOFF_DETECTION_H

#include <stdbool.h>

struct ow_leader;

/** Whether every worker has fallen silent at once while they send heartbeats to other controllers: it is this
 * controller that is cut off from them, even if it reaches the key-value store. Where they send none,
 * they are gone. */
bool ow_cutoff_detection_is_cut_off(const struct ow_leader *leader);

#endif
