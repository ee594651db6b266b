/**
 * @file
 * Routes requests of users to the shards. A request about a job goes to the shard that has it; if no shard
 * is known to have it, all shards are queried and their answers are combined. A new job goes to the shard
 * with the least waiting work among those that the routes allow and that can run it.
 *
 * Invariant: a user gets the answer that a job does not exist, or that its submission is refused, only after
 * every shard has answered that it does not have the job.
 */
#ifndef OW_SHARDING_REQUEST_ROUTER_H
#define OW_SHARDING_REQUEST_ROUTER_H

#include "model/effect.h"
#include "model/event.h"
#include "sharding/shard.h"

#include <glib.h>
#include <stdbool.h>

/** The router's pending queries and submissions. */
typedef struct ow_request_router ow_request_router;

/** Creates a router without pending requests. `sharding` and `shards` (struct ow_shard) must outlive it. */
struct ow_request_router *ow_request_router_new(const struct ow_sharding_settings *sharding,
                                                const GPtrArray *shards);
/** Frees the router and its pending requests. NULL is not allowed. */
void ow_request_router_free(struct ow_request_router *router);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_request_router, ow_request_router_free)

/** Routes a submission, poll, cancellation or query about teams to the shards. Takes ownership of the event.
 */
void ow_request_router_push(struct ow_request_router *router, struct ow_event *event, double now);
/**
 * Handles an effect of a shard that may be an answer to a user.
 *
 * @return whether the caller may pass the effect on unchanged. If not, the router has taken ownership, and
 * appends the combined answer to `out` once all shards have answered.
 */
bool ow_request_router_forward(struct ow_request_router *router, const struct ow_shard *shard,
                               struct ow_effect *effect, double now, GPtrArray *out);
/** Drops requests that have not been answered within 20 s. */
void ow_request_router_sweep(struct ow_request_router *router, double now);

#endif
