/* Users' requests in a fleet of several shards: a job that a shard knows is asked of that one; about any
 * other all shards are asked, and their answers are combined. A new job goes to the shard with the least
 * waiting work among those that the routes allow and that can run it. */
#ifndef OW_SHARDING_REQUEST_ROUTER_H
#define OW_SHARDING_REQUEST_ROUTER_H

#include "model/effect.h"
#include "model/event.h"
#include "sharding/shard.h"

#include <glib.h>
#include <stdbool.h>

struct ow_request_router;

/* `shards` (struct ow_shard) must outlive it. */
struct ow_request_router *ow_request_router_new(const struct ow_sharding_settings *sharding,
                                                const GPtrArray *shards);
void ow_request_router_free(struct ow_request_router *router);
/* Hands on a submission, poll, cancellation or question about teams, which is taken over. */
void ow_request_router_push(struct ow_request_router *router, struct ow_event *event, double now);
/* Whether an answer of the shard may go to the user as it is. If not it is kept, and the combined answer,
   once it is there, is appended to `out`. The effect is taken over in that case only. */
bool ow_request_router_forward(struct ow_request_router *router, const struct ow_shard *shard,
                               struct ow_effect *effect, double now, GPtrArray *out);
/* Forgets requests that were never answered. */
void ow_request_router_sweep(struct ow_request_router *router, double now);

#endif
