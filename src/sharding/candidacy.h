/**
 * @file
 * The order in which controllers run for a shard that nobody leads: the one that leads fewest shards first,
 * and among equals by rendezvous hashing. The order only spares them a race; which of them leads is decided
 * by the key-value store alone.
 */
#ifndef OW_SHARDING_CANDIDACY_H
#define OW_SHARDING_CANDIDACY_H

#include "sharding/membership.h"

/** How many live controllers come before this one, named `self`, which leads `led_count` shards. */
unsigned ow_candidacy_rank(const struct ow_membership *membership, const char *self, unsigned led_count,
                           const char *shard);
/** The name of the live controller that comes first, owned by the membership; NULL: `self` does. */
const char *ow_candidacy_find_successor(const struct ow_membership *membership, const char *self,
                                        unsigned led_count, const char *shard);

#endif
