/** @file
 * Applies a worker's heartbeat and replies to it. The reply renews the worker's lease and carries its
 * commands.
 */
#ifndef OW_CORE_LEADER_HEARTBEAT_ANSWER_H
#define OW_CORE_LEADER_HEARTBEAT_ANSWER_H

#include <stdint.h>

struct ow_heartbeat;
struct ow_leader;

/** After this many seconds without a reply a worker tries another controller. */
static const double OW_HEARTBEAT_TIMEOUT_S = 4;

/** Applies a worker's heartbeat and replies to it; `request` identifies the HTTP request to answer. */
void ow_heartbeat_answer(struct ow_leader *leader, uint64_t request, const struct ow_heartbeat *heartbeat);

#endif
