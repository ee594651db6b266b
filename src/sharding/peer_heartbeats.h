/**
 * @file
 * Heartbeats between controllers: creates those of this controller, and applies received ones to the member
 * that sent them. Heartbeats of earlier incarnations and delayed ones are dropped.
 */
#ifndef OW_SHARDING_PEER_HEARTBEATS_H
#define OW_SHARDING_PEER_HEARTBEATS_H

#include "model/peer.h"
#include "sharding/dropped_messages.h"
#include "sharding/member.h"

#include <glib.h>
#include <stdint.h>

/** The contents of this controller's heartbeats. */
struct ow_heartbeat_source {
    const char *name;         /**< this controller; borrowed */
    uint64_t incarnation;     /**< of this process; not 0 */
    uint64_t settings_digest; /**< of the settings that all controllers must agree on (shard_map.h) */
    uint64_t sequence;        /**< of the last heartbeat; 0: none yet */
};

/** Creates this controller's next heartbeat, owned by the caller. `led_shards`: struct ow_peer_shard, copied.
 */
struct ow_peer_message *ow_peer_heartbeat_new(struct ow_heartbeat_source *self, const GArray *led_shards);

/**
 * Applies a heartbeat to its sender's member.
 *
 * @return OW_DROP_NONE, or why it was dropped without any change. */
enum ow_drop_cause ow_peer_heartbeat_receive(const struct ow_heartbeat_source *self, struct ow_member *sender,
                                             const struct ow_peer_heartbeat *heartbeat, double now);

#endif
