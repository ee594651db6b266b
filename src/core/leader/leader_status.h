/** @file
 * How far a leader is with taking over, for those who watch the controller from outside.
 */
#ifndef OW_CORE_LEADER_LEADER_STATUS_H
#define OW_CORE_LEADER_LEADER_STATUS_H

#include <stdbool.h>

struct ow_leader;

/** A snapshot of a leader. */
struct ow_leader_status {
    bool is_ready;            /**< it has read all records */
    bool has_settled;         /**< ready for so long that every live worker has sent it a heartbeat */
    unsigned machines;        /**< that have ever sent a heartbeat */
    unsigned fenced_machines; /**< those of them that have shown its fencing token */
};

/** How the leader is now. */
struct ow_leader_status ow_leader_status_of(const struct ow_leader *leader);

#endif
