/* The state of a controller of a fleet that may be divided, shared by the files that make it up. Private to
 * control/. */
#ifndef OW_SHARDING_SHARD_MANAGER_STATE_H
#define OW_SHARDING_SHARD_MANAGER_STATE_H

#include "model/event.h"
#include "sharding/map_agreement.h"
#include "sharding/request_router.h"
#include "sharding/shard_manager.h"

#include <glib.h>
#include <stdint.h>

/* The index that tags of our own requests carry instead of a shard's. */
#define OW_OWN_INDEX ((uint64_t)OW_SHARDS_MAX)

struct ow_shard_manager {
    const struct ow_settings *settings;
    const struct ow_sharding_settings *sharding_settings; /* NULL: not divided */
    struct ow_core *core;                                 /* the only one; NULL: divided */
    GPtrArray *prefixes;                                  /* of the shards' keys */
    GPtrArray *shards;                                    /* struct ow_shard, owned */
    struct ow_membership *membership;
    struct ow_map_agreement agreement;
    struct ow_request_router *router;
    GQueue events; /* struct ow_event */
    double now;
};

static inline struct ow_shard *ow_managed_shard(const struct ow_shard_manager *manager, guint index)
{
    return g_ptr_array_index(manager->shards, index);
}

/* shard_dispatch.c: hands an event, which is taken over, to the shard or the part that it is for. */
void ow_shard_manager_dispatch(struct ow_shard_manager *manager, struct ow_event *event, GPtrArray *out);
/* Makes effects of messages to other controllers, and frees the array. */
void ow_shard_manager_send_messages(GPtrArray *messages, GPtrArray *out);

#endif
