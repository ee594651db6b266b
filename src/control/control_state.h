/* The state of a controller of a fleet that may be divided, shared by the files that make it up. Private to
 * control/. */
#ifndef OW_CONTROL_CONTROL_STATE_H
#define OW_CONTROL_CONTROL_STATE_H

#include "control/control.h"
#include "control/map_agreement.h"
#include "control/request_router.h"

/* The index that tags of our own requests carry instead of a shard's. */
#define OW_OWN_INDEX ((uint64_t)OW_SHARDS_MAX)

struct ow_control {
    const struct ow_settings *settings;
    const struct ow_control_settings *control_settings; /* NULL: not divided */
    struct ow_core *core;                               /* the only one; NULL: divided */
    GPtrArray *prefixes;                                /* of the shards' keys */
    GPtrArray *shards;                                  /* struct ow_shard, owned */
    struct ow_membership *membership;
    struct ow_map_agreement agreement;
    struct ow_request_router *router;
    GQueue events; /* struct ow_event */
    double now;
};

static inline struct ow_shard *ow_control_shard(const struct ow_control *control, guint index)
{
    return g_ptr_array_index(control->shards, index);
}

/* control_dispatch.c: hands an event, which is taken over, to the shard or the part that it is for. */
void ow_control_dispatch(struct ow_control *control, struct ow_event *event, GPtrArray *out);
/* Makes effects of messages to other controllers, and frees the array. */
void ow_control_send_messages(GPtrArray *messages, GPtrArray *out);

#endif
