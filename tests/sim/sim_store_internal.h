/** @file Types and functions shared by the files of the simulated key-value store. */
#ifndef OW_TESTS_SIM_STORE_INTERNAL_H
#define OW_TESTS_SIM_STORE_INTERNAL_H

#include "sim_internal.h"

/** The value of a key, with its version and lease. */
struct sim_value {
    char *text;
    uint64_t version; /**< the revision of its last change */
    uint64_t lease;   /**< 0: none */
};

/** An entry of the change history: a put or a deletion of a key. */
struct sim_change {
    char *key;
    char *text; /**< NULL: deleted */
    uint64_t version;
};

/** Frees a struct sim_value. */
void sim_value_free(void *item);
/** Appends a change at the current revision; the text is NULL for a deletion. */
void sim_append_change(struct sim_cluster *cluster, const char *key, const char *text);
/** Applies the transaction if all its comparisons hold.
 * @param failed the keys of failed comparisons, to be freed with g_strfreev().
 * @return the HTTP status: 200 if it was applied, 409 if a comparison failed, 400 if it was too large or its
 * lease does not exist. */
int sim_apply_txn(struct sim_cluster *cluster, const struct ow_store_request *request, char ***failed);
/** An empty array of struct ow_store_item, which the caller owns. */
GArray *sim_store_items_new(void);
/** Appends an item; the text is NULL for a deleted key. */
void sim_store_items_add(GArray *items, const char *key, const char *text, uint64_t version);
/** The changes of keys with this prefix after the revision, as items that the caller owns. */
GArray *sim_changes_since(struct sim_cluster *cluster, const char *prefix, uint64_t since);

/* sim_store_leases.c */

/** Deletes expired leases and their keys, unless the store is down. */
void sim_expire_leases(struct sim_cluster *cluster);
/** Renews every lease for its full duration while the store is down, so that none expires during or right
 * after an outage. */
void sim_extend_leases(struct sim_cluster *cluster);

/* sim_store.c */

/** Sends a response at the current revision; takes ownership of its items (NULL: none) and failed keys.
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
