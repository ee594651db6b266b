/* What the core asks of the key-value store, and what it hears back. Plain data. */
#ifndef OW_MODEL_STORE_H
#define OW_MODEL_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct json_t;

enum ow_store_op {
    OW_STORE_GET,
    OW_STORE_LIST,
    OW_STORE_TXN,
    OW_STORE_WATCH,
    OW_STORE_GRANT_LEASE,
    OW_STORE_KEEP_ALIVE,
};

struct ow_store_comparison {
    char *key;
    uint64_t version; /* 0: must not exist */
};

struct ow_store_mutation {
    char *key;
    char *value;    /* JSON text; NULL: delete */
    uint64_t lease; /* 0: none */
};

struct ow_store_request {
    uint64_t tag;
    enum ow_store_op op;
    char *key;           /* get; prefix of a list or a watch */
    char *after;         /* list: begin after this key */
    uint64_t number;     /* watch: since this revision; renew: the lease */
    double seconds;      /* watch: how long it may stay open; lease: its life */
    GArray *comparisons; /* struct ow_store_comparison, or NULL */
    GArray *mutations;   /* struct ow_store_mutation, or NULL */
};

struct ow_store_request *ow_store_request_new(enum ow_store_op op, const char *key);
void ow_store_request_free(struct ow_store_request *request);
void ow_store_compare(struct ow_store_request *request, const char *key, uint64_t version);
/* Takes over `value`, which is NULL for a deletion. */
void ow_store_put(struct ow_store_request *request, const char *key, char *value, uint64_t lease);
/* Bytes of the largest value that the transaction writes. */
size_t ow_store_largest_value(const struct ow_store_request *request);

struct ow_store_item {
    char *key;
    struct json_t *value; /* NULL: deleted */
    uint64_t version;
};

struct ow_store_reply {
    uint64_t tag;
    int status; /* 0: no response, the request might have been carried out */
    uint64_t revision;
    uint64_t lease;
    bool more;
    GArray *items; /* struct ow_store_item; of a get, a list or a watch */
    char **failed; /* keys whose condition failed, or NULL */
};

void ow_store_reply_clear(struct ow_store_reply *reply);

#endif
