/* In which order controllers run for a shard that nobody leads: the one that leads fewest shards first. The
 * order only spares them a race; which of them leads is decided by the key-value store. */
#ifndef OW_SHARDING_CANDIDACY_H
#define OW_SHARDING_CANDIDACY_H

#include "sharding/membership.h"

/* How many live controllers come before this one, which leads `own_count` shards. */
unsigned ow_candidacy_rank(const struct ow_membership *membership, const char *self, unsigned own_count,
                           const char *shard);
/* The name of the live controller that comes first; NULL: this one. */
const char *ow_candidacy_successor(const struct ow_membership *membership, const char *self,
                                   unsigned own_count, const char *shard);

#endif
