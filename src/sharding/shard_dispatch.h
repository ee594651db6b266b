/**
 * @file
 * Dispatches the events of a divided fleet to the component that handles them: a shard, the membership, the
 * map agreement or the request router. Owns nothing.
 */
#ifndef OW_SHARDING_SHARD_DISPATCH_H
#define OW_SHARDING_SHARD_DISPATCH_H

#include "model/event.h"
#include "sharding/map_agreement.h"
#include "sharding/membership.h"
#include "sharding/request_router.h"

#include <glib.h>

/** The components that handle events; all borrowed from the shard manager. */
struct ow_dispatch_targets {
    const struct ow_sharding_settings *sharding;
    const GPtrArray *shards; /**< struct ow_shard */
    struct ow_membership *membership;
    struct ow_map_agreement *agreement;
    struct ow_request_router *router;
};

/** Dispatches an event and takes ownership of it. Immediate effects are appended to `out`. */
void ow_shard_dispatch_event(const struct ow_dispatch_targets *targets, struct ow_event *event, double now,
                             GPtrArray *out);
/** Appends an effect for each message to other controllers (struct ow_peer_message) to `out`. Takes ownership
 * of the array and its members. */
void ow_shard_dispatch_messages(GPtrArray *messages, GPtrArray *out);

#endif
