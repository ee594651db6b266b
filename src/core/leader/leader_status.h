/** @file
 * The progress of a leader's failover, for code outside of the core.
 */
#ifndef OW_CORE_LEADER_LEADER_STATUS_H
#define OW_CORE_LEADER_LEADER_STATUS_H

#include <stdbool.h>

struct ow_leader;

/** The state of a leader at one time. */
struct ow_leader_status {
    bool is_ready;            /**< it has read all records and makes decisions */
    bool has_settled;         /**< ready long enough for every live worker to have sent it a heartbeat */
    unsigned machines;        /**< that have ever sent a heartbeat */
    unsigned fenced_machines; /**< of `machines`: those whose heartbeat carried its fencing token */
};

/** Takes a snapshot of the leader. */
struct ow_leader_status ow_leader_status_of(const struct ow_leader *leader);
/** Logs one line on the leader's progress and the work that it has queued. */
void ow_leader_status_log(const struct ow_leader *leader);

#endif
