#include "sharding/candidacy.h"

/* Rendezvous hashing: among equals, each shard has an order of its own. */
static guint weight(const char *controller, const char *shard)
{
    char *both = g_strconcat(controller, "/", shard, NULL);
    guint hash = g_str_hash(both);
    g_free(both);
    /* Names that differ in the last letter have neighbouring hashes: the bits are mixed. */
    hash ^= hash >> 16;
    hash *= 0x45d9f3bU;
    hash ^= hash >> 16;
    return hash;
}

/* Whether `other` comes before `one`. */
static bool comes_before(const char *other, unsigned other_count, const char *one, unsigned count,
                         const char *shard)
{
    if (other_count != count)
        return other_count < count;
    guint other_weight = weight(other, shard);
    guint own_weight = weight(one, shard);
    return other_weight != own_weight ? other_weight < own_weight : g_strcmp0(other, one) < 0;
}

unsigned ow_candidacy_rank(const struct ow_membership *membership, const char *self, unsigned own_count,
                           const char *shard)
{
    const GPtrArray *members = ow_membership_members(membership);
    unsigned rank = 0;
    for (guint i = 0; i < members->len; i++) {
        const struct ow_member *member = g_ptr_array_index(members, i);
        if (ow_membership_may_lead(membership, member) &&
            comes_before(member->name, member->shards->len, self, own_count, shard))
            rank++;
    }
    return rank;
}

const char *ow_candidacy_successor(const struct ow_membership *membership, const char *self,
                                   unsigned own_count, const char *shard)
{
    const GPtrArray *members = ow_membership_members(membership);
    const char *first = self;
    unsigned first_count = own_count;
    for (guint i = 0; i < members->len; i++) {
        const struct ow_member *member = g_ptr_array_index(members, i);
        if (!ow_membership_may_lead(membership, member) ||
            !comes_before(member->name, member->shards->len, first, first_count, shard))
            continue;
        first = member->name;
        first_count = member->shards->len;
    }
    return first == self ? NULL : first;
}
