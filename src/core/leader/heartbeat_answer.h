/** @file
 * Taking a worker's heartbeat in and answering it. The answer renews the worker's lease and carries its
 * commands.
 */
#ifndef OW_CORE_LEADER_HEARTBEAT_ANSWER_H
#define OW_CORE_LEADER_HEARTBEAT_ANSWER_H

#include <stdint.h>

struct ow_heartbeat;
struct ow_leader;

/** After so many seconds without an answer a worker turns to another controller. */
static const double OW_HEARTBEAT_TIMEOUT_S = 4;

/** Applies a worker's heartbeat and answers it; `request` is the tag under which it came. */
void ow_heartbeat_answer(struct ow_leader *leader, uint64_t request, const struct ow_heartbeat *heartbeat);

#endif
