/* The shard map in the key-value store: the first controller stores the values that its settings say, and
 * every controller leads only while its own are the same. A map is never changed: a machine or job that moved
 * between shards with a lease still running could be started twice. No I/O: requests are added to an array.
 */
#ifndef OW_SHARDING_MAP_AGREEMENT_H
#define OW_SHARDING_MAP_AGREEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum ow_agreement_state {
    OW_AGREEMENT_READING,  /* the stored map is not known yet */
    OW_AGREEMENT_CREATING, /* there is none: ours is being stored */
    OW_AGREEMENT_AGREED,
    OW_AGREEMENT_DIFFERS, /* this controller leads nothing anew; what it leads it goes on leading */
};

struct ow_store_reply;

struct ow_map_agreement {
    enum ow_agreement_state state;
    GHashTable *values; /* ours: name -> value, owned */
    bool only_default;  /* the map has the default shard alone: it may be laid over a fleet without one */
    bool busy;
    double next_at;
    uint64_t version; /* of the stored map */
    char *difference; /* what differs, or NULL */
};

/* Takes over `values` (shard_map.h). */
void ow_map_agreement_init(struct ow_map_agreement *agreement, GHashTable *values, bool only_default);
void ow_map_agreement_clear(struct ow_map_agreement *agreement);
/* Appends the request that is due, as an effect whose answer is to be told under `tag`. */
void ow_map_agreement_tick(struct ow_map_agreement *agreement, double now, uint64_t tag, GPtrArray *out);
void ow_map_agreement_answered(struct ow_map_agreement *agreement, const struct ow_store_reply *reply,
                               double now);
bool ow_map_agreement_holds(const struct ow_map_agreement *agreement);

#endif
