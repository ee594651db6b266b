/* One shard in this process: an instance of the core with a name space of its own, between which and the
 * outside this module translates. Every effect passes the shard's lease guard. */
#ifndef OW_SHARDING_SHARD_H
#define OW_SHARDING_SHARD_H

#include "core/core.h"
#include "model/event.h"
#include "sharding/handover.h"
#include "sharding/lease_guard.h"

#include <glib.h>
#include <stdint.h>

struct ow_shard {
    unsigned index;
    const char *name; /* the settings' */
    char *prefix;     /* of its keys; NULL: the default shard */
    const struct ow_sharding_settings *sharding;
    const GPtrArray *prefixes; /* of all shards */
    struct ow_settings *settings;
    struct ow_core *core;
    struct ow_core_status status; /* after the last run of the core */
    struct ow_lease_guard guard;
    struct ow_handover handover;
    unsigned withheld; /* effects that the lease guard has kept back */
};

/* Tags of requests to the outside carry the shard's index in their upper bits. */
enum { OW_SHARD_TAG_BITS = 48 };

struct ow_shard *ow_shard_new(const struct ow_sharding_settings *sharding, unsigned index,
                              const struct ow_settings *platform, const struct ow_tuning *tuning,
                              uint64_t nonce, const GPtrArray *prefixes, double now);
void ow_shard_free(struct ow_shard *shard);
/* Hands the core an event, which is taken over: an answer to one of its requests is translated first. */
void ow_shard_push(struct ow_shard *shard, struct ow_event *event);
/* Runs the core and appends its effects, translated, to `out`. */
void ow_shard_step(struct ow_shard *shard, double now, double time_of_day, GPtrArray *out);
/* The process goes on after a pause that may have outlived the shard's lease. */
void ow_shard_resumed(struct ow_shard *shard, double now);

#endif
