/** @file
 * Requests to the key-value store and its replies, as plain data.
 *
 * Every change gets a revision. The store keeps the revision of the last change of each key (`mod_revision`),
 * and a transaction compares against it: its mutations are applied atomically, or not at all.
 * wire/store_json.h converts requests to HTTP and responses to replies.
 */
#ifndef OW_MODEL_STORE_H
#define OW_MODEL_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct json_t;

/** The operation of a request. */
enum ow_store_op {
    OW_STORE_GET,         /**< one key */
    OW_STORE_LIST,        /**< a page of the keys with a prefix */
    OW_STORE_TXN,         /**< mutations that are applied if all comparisons hold */
    OW_STORE_WATCH,       /**< changes of keys with a prefix; a long poll until there are some */
    OW_STORE_GRANT_LEASE, /**< a new lease */
    OW_STORE_KEEP_ALIVE,  /**< renewal of a lease */
};

/** A comparison, which holds if the last change of the key has this revision. */
struct ow_store_comparison {
    char *key;             /**< owned */
    uint64_t mod_revision; /**< 0: the key must not exist */
};

/** A put or a delete of one key, applied as part of a transaction. */
struct ow_store_mutation {
    char *key;      /**< owned */
    char *value;    /**< owned; JSON text; NULL: delete */
    uint64_t lease; /**< the key is deleted when this lease expires; 0: never */
};

/** A request; `op` determines which fields are used. */
struct ow_store_request {
    uint64_t tag; /**< identifies the request; the reply has the same tag */
    enum ow_store_op op;
    char *key;               /**< owned; get: the key; list and watch: the prefix; otherwise NULL */
    char *start_after_key;   /**< owned; list: only keys after this one; NULL: from the first */
    uint64_t since_revision; /**< watch: only changes after this revision */
    uint64_t lease;          /**< keep-alive: the lease to renew */
    double duration_s;       /**< watch: maximum time that it stays open; grant: the lease's time to live */
    GArray *comparisons;     /**< transaction: struct ow_store_comparison, owned; otherwise NULL */
    GArray *mutations;       /**< transaction: struct ow_store_mutation, owned; otherwise NULL */
};

/** Creates a request; the caller frees it with ow_store_request_free(). `key` is copied and may be NULL. */
struct ow_store_request *ow_store_request_new(enum ow_store_op op, const char *key);
/** Frees a request and its members. NULL is allowed. */
void ow_store_request_free(struct ow_store_request *request);
/** Enables g_autoptr(ow_store_request). */
typedef struct ow_store_request ow_store_request;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_store_request, ow_store_request_free)
/** Adds a comparison to a transaction. `key` is copied; `mod_revision` 0: the key must not exist. */
void ow_store_request_compare(struct ow_store_request *request, const char *key, uint64_t mod_revision);
/** Adds a mutation to a transaction. `key` is copied. Takes ownership of `value`; NULL deletes the key.
 * `lease` 0: the key does not expire. */
void ow_store_request_put(struct ow_store_request *request, const char *key, char *value, uint64_t lease);
/** Returns the size in bytes of the largest value that a transaction writes; 0 if it only deletes. */
size_t ow_store_request_largest_value(const struct ow_store_request *request);

/** A key with its value, or a change of a key. */
struct ow_store_item {
    char *key;             /**< owned */
    struct json_t *value;  /**< one reference is owned; NULL: the key was deleted */
    uint64_t mod_revision; /**< of its last change */
};

/** A reply to one request. The owner clears it with ow_store_reply_clear(). */
struct ow_store_reply {
    uint64_t tag; /**< of the request */
    /** HTTP status, of enum ow_http_status or another one. NONE: no response; the request may have been
     * carried out, or may be later. BAD_REQUEST: the transaction or a value in it is too large. CONFLICT: a
     * comparison did not hold, and nothing was changed. */
    int status;
    bool is_unreadable; /**< there was a response, but its body can't be read; the status is NONE */
    uint64_t revision;  /**< current revision of the store; transaction: the revision that it created */
    uint64_t lease;     /**< grant: the new lease */
    bool has_more;      /**< list: there are more pages */
    GArray *items;      /**< get, list and watch: struct ow_store_item, owned; otherwise NULL or empty */
    char **failed_keys; /**< conflict: keys whose comparison did not hold, owned; NULL: unknown */
};

/** Whether the reply lists `key` among those whose comparison did not hold. */
bool ow_store_reply_failed_on(const struct ow_store_reply *reply, const char *key);
/** Frees the members of a reply, not the struct itself. */
void ow_store_reply_clear(struct ow_store_reply *reply);

#endif
