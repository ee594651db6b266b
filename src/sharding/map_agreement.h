/**
 * @file
 * The shard map in the key-value store: the first controller stores the values of its settings, and every
 * controller takes leader keys only while its own values equal the stored ones.
 *
 * Invariant: a stored map is never changed. If machines or jobs moved between shards while a lease is valid,
 * tasks could be started twice. No I/O: requests are appended to an array.
 */
#ifndef OW_SHARDING_MAP_AGREEMENT_H
#define OW_SHARDING_MAP_AGREEMENT_H

#include "model/store.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The comparison of our shard map with the stored one. */
typedef struct ow_map_agreement ow_map_agreement;

/** Creates an agreement that has not been compared yet. Takes ownership of `values`, the values of this
 * controller's map by name (shard_map.h). With `has_only_default_shard` the map may also be stored for a
 * fleet that has been in use without shards. */
struct ow_map_agreement *ow_map_agreement_new(GHashTable *values, bool has_only_default_shard);
/** Frees the agreement and its values. NULL is not allowed. */
void ow_map_agreement_free(struct ow_map_agreement *agreement);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_map_agreement, ow_map_agreement_free)

/** Appends the request that is due, if one is, to `out` as a struct ow_effect; its reply is to be handed to
 * ow_map_agreement_receive(). */
void ow_map_agreement_tick(struct ow_map_agreement *agreement, double now, uint64_t tag, GPtrArray *out);
/** Handles the reply to the request in flight. */
void ow_map_agreement_receive(struct ow_map_agreement *agreement, const struct ow_store_reply *reply,
                              double now);
/** Whether our map equals the stored one, so that this controller may take leader keys. A difference does not
 * end terms that have begun. */
bool ow_map_agreement_is_reached(const struct ow_map_agreement *agreement);
/** A description of the difference from the stored map, owned by the agreement; NULL: none is known. */
const char *ow_map_agreement_difference(const struct ow_map_agreement *agreement);

#endif
