/**
 * @file
 * The order in which controllers try to take the leader key of a shard without a leader: by the number of
 * shards that they lead, fewest first, with ties broken by rendezvous hashing. The order only avoids
 * contention; the transaction on the leader key alone decides who leads.
 */
#ifndef OW_SHARDING_CANDIDACY_H
#define OW_SHARDING_CANDIDACY_H

#include "sharding/membership.h"

/** Number of live controllers that precede this one, which is named `self` and leads `led_count` shards. */
unsigned ow_candidacy_compute_rank(const struct ow_membership *membership, const char *self,
                                   unsigned led_count, const char *shard);
/** The name of the live controller that is first in the order, owned by the membership; NULL if it is `self`.
 */
const char *ow_candidacy_find_successor(const struct ow_membership *membership, const char *self,
                                        unsigned led_count, const char *shard);

#endif
