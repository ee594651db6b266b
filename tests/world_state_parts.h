/* What the files of the simulated key-value store share. */
#ifndef OW_TESTS_WORLD_STATE_PARTS_H
#define OW_TESTS_WORLD_STATE_PARTS_H

#include "world_parts.h"

/* The value of a key. */
struct world_value {
    char *text;
    uint64_t version, lease;
};

/* A change of a key. */
struct world_event {
    char *key;
    char *text; /* NULL: deleted */
    uint64_t version;
};

void world_value_free(void *item);
/* Appends a change at the current revision; the text is NULL for a deletion. */
void world_log_change(struct world *w, const char *key, const char *text);
/* The status of the transaction, which is applied if it is 200; the keys of failed conditions. */
int world_apply_txn(struct world *w, const struct ow_store_request *request, char ***failed);
/* An empty array of struct ow_store_item. */
GArray *world_new_items(void);
void world_add_item(GArray *items, const char *key, const char *text, uint64_t version);
/* The changes of keys with this prefix after the revision, as items. */
GArray *world_changes_since(struct world *w, const char *prefix, uint64_t since);

/* world_leases.c: removes the keys of leases that have run out. */
void world_expire_leases(struct world *w);
/* After an outage every lease has its full time again. */
void world_extend_leases(struct world *w);

#endif
