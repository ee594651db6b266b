/**
 * @file
 * Hands each event of a divided fleet to the part of the shard manager that it is for: a shard, the
 * membership, the map agreement or the request router. Owns nothing.
 */
#ifndef OW_SHARDING_SHARD_DISPATCH_H
#define OW_SHARDING_SHARD_DISPATCH_H

#include "model/event.h"
#include "sharding/map_agreement.h"
#include "sharding/membership.h"
#include "sharding/request_router.h"

#include <glib.h>

/** Whom events may be for; all borrowed from the shard manager. */
struct ow_dispatch_targets {
    const struct ow_sharding_settings *sharding;
    const GPtrArray *shards; /**< struct ow_shard */
    struct ow_membership *membership;
    struct ow_map_agreement *agreement;
    struct ow_request_router *router;
};

/** Hands on an event, which is taken over; effects that come of it at once are appended to `out`. */
void ow_shard_dispatch_event(const struct ow_dispatch_targets *targets, struct ow_event *event, double now,
                             GPtrArray *out);
/** Appends an effect for each message to other controllers (struct ow_peer_message) to `out`. Takes over the
 * array and its members. */
void ow_shard_dispatch_messages(GPtrArray *messages, GPtrArray *out);

#endif
