/** @file What the files of the simulated key-value store share. */
#ifndef OW_TESTS_SIM_STORE_INTERNAL_H
#define OW_TESTS_SIM_STORE_INTERNAL_H

#include "sim_internal.h"

/** The value of a key. */
struct sim_value {
    char *text;
    uint64_t version; /**< the revision of its last change */
    uint64_t lease;   /**< 0: none */
};

/** A change of a key. */
struct sim_change {
    char *key;
    char *text; /**< NULL: deleted */
    uint64_t version;
};

/** Frees a struct sim_value. */
void sim_value_free(void *item);
/** Appends a change at the current revision; the text is NULL for a deletion. */
void sim_append_change(struct sim_cluster *cluster, const char *key, const char *text);
/** Applies the transaction if it holds.
 * @param failed the keys of failed comparisons, to be freed with g_strfreev().
 * @return its status: 200 if it was applied. */
int sim_apply_txn(struct sim_cluster *cluster, const struct ow_store_request *request, char ***failed);
/** An empty array of struct ow_store_item, which the caller owns. */
GArray *sim_store_items_new(void);
/** Appends an item; the text is NULL for a deleted key. */
void sim_store_items_add(GArray *items, const char *key, const char *text, uint64_t version);
/** The changes of keys with this prefix after the revision, as items that the caller owns. */
GArray *sim_changes_since(struct sim_cluster *cluster, const char *prefix, uint64_t since);

/* sim_store_leases.c */

/** Removes the keys of leases that have expired, unless the store is down. */
void sim_expire_leases(struct sim_cluster *cluster);
/** While the store is down, no lease gets shorter: after the outage each has its full time again. */
void sim_extend_leases(struct sim_cluster *cluster);

/* sim_store.c */

/** Answers a request at the current revision; takes ownership of the items (NULL: none) and the failed keys.
 */
void sim_store_respond(struct sim_cluster *cluster, int controller, uint64_t nonce,
                       struct ow_store_reply reply);

/* sim_store_watches.c */

/** Answers a watch at once if there are changes, and keeps it open otherwise. */
void sim_store_watch(struct sim_cluster *cluster, int controller, uint64_t nonce,
                     const struct ow_store_request *request);
/** Answers the open watches that have changes or have timed out. */
void sim_answer_watches(struct sim_cluster *cluster);
/** Frees the open watches. */
void sim_watches_clear(struct sim_cluster *cluster);

#endif
