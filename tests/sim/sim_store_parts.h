/* What the files of the simulated key-value store share. */
#ifndef OW_TESTS_SIM_STORE_PARTS_H
#define OW_TESTS_SIM_STORE_PARTS_H

#include "sim_parts.h"

/* The value of a key. */
struct sim_value {
    char *text;
    uint64_t version, lease;
};

/* A change of a key. */
struct sim_event {
    char *key;
    char *text; /* NULL: deleted */
    uint64_t version;
};

void sim_value_free(void *item);
/* Appends a change at the current revision; the text is NULL for a deletion. */
void sim_log_change(struct sim_cluster *cluster, const char *key, const char *text);
/* The status of the transaction, which is applied if it is 200; the keys of failed conditions. */
int sim_apply_txn(struct sim_cluster *cluster, const struct ow_store_request *request, char ***failed);
/* An empty array of struct ow_store_item. */
GArray *sim_new_items(void);
void sim_add_item(GArray *items, const char *key, const char *text, uint64_t version);
/* The changes of keys with this prefix after the revision, as items. */
GArray *sim_changes_since(struct sim_cluster *cluster, const char *prefix, uint64_t since);

/* world_leases.c: removes the keys of leases that have run out. */
void sim_expire_leases(struct sim_cluster *cluster);
/* After an outage every lease has its full time again. */
void sim_extend_leases(struct sim_cluster *cluster);

#endif
