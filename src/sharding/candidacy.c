#include "sharding/candidacy.h"

/* A controller that is able to lead a shard. */
struct candidate {
    const char *name;
    unsigned led_count; /* shards that it already leads */
};

/* Constants of an integer hash finalizer (multiply and xor-shift). */
enum { MIX_MULTIPLIER = 0x45d9f3b, MIX_SHIFT = 16 };

/* Rendezvous hashing: candidates with equal load are ordered by a hash of controller and shard, lowest first,
   so the order differs from shard to shard. */
static guint rendezvous_hash(const char *controller, const char *shard)
{
    g_autofree char *hash_input = g_strconcat(controller, "/", shard, NULL);
    guint hash = g_str_hash(hash_input);
    /* g_str_hash() gives adjacent hashes to names that differ in the last letter, so a finalizer mixes the
     * bits. */
    hash ^= hash >> MIX_SHIFT;
    hash *= (guint)MIX_MULTIPLIER;
    hash ^= hash >> MIX_SHIFT;
    return hash;
}

static bool comes_before(const struct candidate *one, const struct candidate *other, const char *shard)
{
    if (one->led_count != other->led_count)
        return one->led_count < other->led_count;
    guint hash = rendezvous_hash(one->name, shard);
    guint other_hash = rendezvous_hash(other->name, shard);
    return hash != other_hash ? hash < other_hash : g_strcmp0(one->name, other->name) < 0;
}

unsigned ow_candidacy_compute_rank(const struct ow_membership *membership, const char *self,
                                   unsigned led_count, const char *shard)
{
    const GPtrArray *members = ow_membership_members(membership);
    const struct candidate own = {.name = self, .led_count = led_count};
    unsigned rank = 0;
    for (guint i = 0; i < members->len; i++) {
        const struct ow_member *member = g_ptr_array_index(members, i);
        const struct candidate other = {.name = member->name, .led_count = member->led_shards->len};
        if (ow_membership_may_lead(membership, member) && comes_before(&other, &own, shard))
            rank++;
    }
    return rank;
}

const char *ow_candidacy_find_successor(const struct ow_membership *membership, const char *self,
                                        unsigned led_count, const char *shard)
{
    const GPtrArray *members = ow_membership_members(membership);
    struct candidate first = {.name = self, .led_count = led_count};
    for (guint i = 0; i < members->len; i++) {
        const struct ow_member *member = g_ptr_array_index(members, i);
        const struct candidate other = {.name = member->name, .led_count = member->led_shards->len};
        if (ow_membership_may_lead(membership, member) && comes_before(&other, &first, shard))
            first = other;
    }
    return first.name == self ? NULL : first.name;
}
