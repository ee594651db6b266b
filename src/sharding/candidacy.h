/**
 * @file
 * The order in which controllers try to take the leader key of a shard without a leader: first the one that
 * leads the fewest shards, ties broken by rendezvous hashing. The order only avoids contention; the
 * transaction on the leader key alone decides who leads.
 */
#ifndef OW_SHARDING_CANDIDACY_H
#define OW_SHARDING_CANDIDACY_H

#include "sharding/membership.h"

/** Number of live controllers that come before this one, which is named `self` and leads `led_count` shards.
 */
unsigned ow_candidacy_compute_rank(const struct ow_membership *membership, const char *self,
                                   unsigned led_count, const char *shard);
/** The name of the live controller that comes first, owned by the membership; NULL if it is `self`. */
const char *ow_candidacy_find_successor(const struct ow_membership *membership, const char *self,
                                        unsigned led_count, const char *shard);

#endif
