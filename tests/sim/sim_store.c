/* The simulated key-value store: its requests and responses, delayed transactions and watches. Tests may take
 * it down for all (`store_down`) or for one controller (`controller_without_store`), make it slow
 * (`store_latency_s`), delay transactions (`delay_txns`, `delay_next_txns`, `keep_txns_delayed`), lose their
 * responses (`lose_txn_responses`), and silence or overflow watches (`silent_watches`, `watch_changes_max`).
 */
#include "sim_store_parts.h"
#include "model/effect.h"
#include "model/event.h"

#include <string.h>

enum { PAGE_ITEMS = 1000, PAGE_BYTES = 500 * 1024 };

struct delayed_txn {
    int controller;
    uint64_t nonce;
    struct ow_store_request *request;
    double deadline;
};

struct watch {
    int controller;
    uint64_t nonce, tag, since;
    char *prefix;
    double until;
};

static void change_clear(void *item)
{
    struct sim_change *change = item;
    g_free(change->key);
    g_free(change->text);
}

static void free_watch(struct watch *watch)
{
    g_free(watch->prefix);
    g_free(watch);
}

void sim_store_init(struct sim_cluster *cluster)
{
    cluster->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, sim_value_free);
    cluster->changes = g_array_new(FALSE, FALSE, sizeof(struct sim_change));
    g_array_set_clear_func(cluster->changes, change_clear);
    cluster->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    cluster->revision = 1;
    cluster->delayed_txns = g_ptr_array_new();
    cluster->watches = g_ptr_array_new();
}

void sim_store_clear(struct sim_cluster *cluster)
{
    for (guint i = 0; i < cluster->delayed_txns->len; i++) {
        struct delayed_txn *delayed = g_ptr_array_index(cluster->delayed_txns, i);
        ow_store_request_free(delayed->request);
        g_free(delayed);
    }
    for (guint i = 0; i < cluster->watches->len; i++)
        free_watch(g_ptr_array_index(cluster->watches, i));
    g_ptr_array_free(cluster->delayed_txns, TRUE);
    g_ptr_array_free(cluster->watches, TRUE);
    g_hash_table_destroy(cluster->keys);
    g_hash_table_destroy(cluster->leases);
    g_array_free(cluster->changes, TRUE);
}

static double answer_time(const struct sim_cluster *cluster, int controller)
{
    return 0.01 + (cluster->store_latency_controller < 0 || controller == cluster->store_latency_controller
                       ? cluster->store_latency_s
                       : 0);
}

static void answer_page(struct sim_cluster *cluster, int controller, uint64_t nonce, uint64_t tag,
                        GArray *items, bool more)
{
    struct ow_event *event = ow_event_new(OW_EVENT_STORE, tag);
    event->store = (struct ow_store_reply){tag, 200, cluster->revision, 0, more, items, NULL};
    sim_deliver(cluster, controller, nonce, answer_time(cluster, controller), event);
}

static void answer_store(struct sim_cluster *cluster, int controller, uint64_t nonce, uint64_t tag,
                         int status, GArray *items, uint64_t lease, char **failed)
{
    struct ow_event *event = ow_event_new(OW_EVENT_STORE, tag);
    event->store = (struct ow_store_reply){
        tag, status, cluster->revision, lease, false, items != NULL ? items : sim_store_items_new(), failed};
    sim_deliver(cluster, controller, nonce, answer_time(cluster, controller), event);
}

static void do_txn(struct sim_cluster *cluster, int controller, uint64_t nonce,
                   const struct ow_store_request *request)
{
    char **failed = NULL;
    int status = sim_apply_txn(cluster, request, &failed);
    cluster->txn_count++;
    if (status != 409)
        g_clear_pointer(&failed, g_strfreev);
    if (cluster->lose_txn_responses) {
        g_strfreev(failed);
        answer_store(cluster, controller, nonce, request->tag, 0, NULL, 0, NULL);
    } else {
        answer_store(cluster, controller, nonce, request->tag, status, NULL, 0, failed);
    }
}

static gint by_key(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* A page of the list: so many items, and so many bytes. */
static void do_list(struct sim_cluster *cluster, int controller, uint64_t nonce,
                    const struct ow_store_request *request)
{
    GPtrArray *keys = g_ptr_array_new();
    GArray *items = sim_store_items_new();
    GHashTableIter iter;
    void *key;
    size_t bytes = 0;
    g_hash_table_iter_init(&iter, cluster->keys);
    while (g_hash_table_iter_next(&iter, &key, NULL))
        if (g_str_has_prefix(key, request->key) &&
            (request->start_after_key == NULL || strcmp(key, request->start_after_key) > 0))
            g_ptr_array_add(keys, key);
    g_ptr_array_sort(keys, by_key);
    while (items->len < keys->len && items->len < PAGE_ITEMS && bytes < PAGE_BYTES) {
        const struct sim_value *value =
            g_hash_table_lookup(cluster->keys, g_ptr_array_index(keys, items->len));
        bytes += strlen(value->text);
        sim_store_items_add(items, g_ptr_array_index(keys, items->len), value->text, value->version);
    }
    answer_page(cluster, controller, nonce, request->tag, items, items->len < keys->len);
    g_ptr_array_free(keys, TRUE);
}

/* Answers a watch, taking over the changes: with too many of them the client takes in none. */
static void answer_changes(struct sim_cluster *cluster, int controller, uint64_t nonce, uint64_t tag,
                           GArray *items)
{
    bool too_large = cluster->watch_changes_max > 0 && items->len > cluster->watch_changes_max;
    if (too_large)
        g_array_set_size(items, 0);
    answer_store(cluster, controller, nonce, tag, too_large ? 413 : 200, items, 0, NULL);
}

static void do_watch(struct sim_cluster *cluster, int controller, uint64_t nonce,
                     const struct ow_store_request *request)
{
    GArray *items = sim_changes_since(cluster, request->key, request->since_revision);
    if (items->len > 0 || request->duration_s <= 0) {
        answer_changes(cluster, controller, nonce, request->tag, items);
        return;
    }
    g_array_free(items, TRUE);
    struct watch *watch = g_new0(struct watch, 1);
    *watch = (struct watch){controller,
                            nonce,
                            request->tag,
                            request->since_revision,
                            g_strdup(request->key),
                            cluster->now + request->duration_s};
    g_ptr_array_add(cluster->watches, watch);
}

static void do_lease(struct sim_cluster *cluster, int controller, uint64_t nonce,
                     const struct ow_store_request *request)
{
    uint64_t *id = g_new(uint64_t, 1);
    double *until = g_new(double, 1);
    *id = ++cluster->last_lease;
    *until = cluster->now + request->duration_s;
    g_hash_table_replace(cluster->leases, id, until);
    answer_store(cluster, controller, nonce, request->tag, 200, NULL, *id, NULL);
}

static void do_renew(struct sim_cluster *cluster, int controller, uint64_t nonce,
                     const struct ow_store_request *request)
{
    double *until = g_hash_table_lookup(cluster->leases, &request->lease);
    if (until != NULL)
        *until = cluster->now + cluster->tuning.leader_lease_s;
    answer_store(cluster, controller, nonce, request->tag, until != NULL ? 200 : 404, NULL, 0, NULL);
}

static void do_get(struct sim_cluster *cluster, int controller, uint64_t nonce,
                   const struct ow_store_request *request)
{
    const struct sim_value *value = g_hash_table_lookup(cluster->keys, request->key);
    GArray *items = sim_store_items_new();
    if (value != NULL)
        sim_store_items_add(items, request->key, value->text, value->version);
    answer_store(cluster, controller, nonce, request->tag, value != NULL ? 200 : 404, items, 0, NULL);
}

void sim_store_handle_request(struct sim_cluster *cluster, int controller, struct ow_effect *effect)
{
    const struct ow_store_request *request = effect->store;
    uint64_t nonce = cluster->process_nonce[controller];
    cluster->store_requests++;
    cluster->store_mutations += request->mutations != NULL ? request->mutations->len : 0;
    if (controller == cluster->isolated_controller) {
        struct ow_event *event = ow_event_new(OW_EVENT_STORE, request->tag);
        event->store = (struct ow_store_reply){.tag = request->tag, .items = sim_store_items_new()};
        sim_deliver(cluster, controller, nonce, 1.5, event);
        return;
    }
    if (cluster->store_down || controller == cluster->controller_without_store) {
        answer_store(cluster, controller, nonce, request->tag, 503, NULL, 0, NULL);
        return;
    }
    switch (request->op) {
    case OW_STORE_TXN: {
        bool next = cluster->delay_next_txns > 0 && controller == cluster->delay_next_controller;
        if (cluster->delay_txns || next) {
            cluster->delay_next_txns -= next ? 1 : 0;
            struct delayed_txn *delayed = g_new0(struct delayed_txn, 1);
            *delayed =
                (struct delayed_txn){controller, nonce, g_steal_pointer(&effect->store), cluster->now + 1.5};
            g_ptr_array_add(cluster->delayed_txns, delayed);
            return;
        }
        do_txn(cluster, controller, nonce, request);
        return;
    }
    case OW_STORE_LIST:
        do_list(cluster, controller, nonce, request);
        return;
    case OW_STORE_WATCH:
        do_watch(cluster, controller, nonce, request);
        return;
    case OW_STORE_GRANT_LEASE:
        do_lease(cluster, controller, nonce, request);
        return;
    case OW_STORE_KEEP_ALIVE:
        do_renew(cluster, controller, nonce, request);
        return;
    case OW_STORE_GET:
        do_get(cluster, controller, nonce, request);
        return;
    }
}

static void release_delayed_txns(struct sim_cluster *cluster)
{
    for (guint i = cluster->delayed_txns->len; i > 0; i--) {
        struct delayed_txn *delayed = g_ptr_array_index(cluster->delayed_txns, i - 1);
        /* The controller's request has timed out; the transaction stays in flight. */
        if (delayed->nonce != 0 && cluster->now > delayed->deadline) {
            answer_store(cluster, delayed->controller, delayed->nonce, delayed->request->tag, 0, NULL, 0,
                         NULL);
            delayed->nonce = 0;
        }
        if (cluster->delay_txns || cluster->keep_txns_delayed)
            continue;
        if (delayed->nonce != 0) {
            do_txn(cluster, delayed->controller, delayed->nonce, delayed->request);
        } else {
            char **failed = NULL;
            sim_apply_txn(cluster, delayed->request, &failed);
            g_strfreev(failed);
        }
        ow_store_request_free(delayed->request);
        g_free(delayed);
        g_ptr_array_remove_index(cluster->delayed_txns, i - 1);
    }
}

static void answer_watches(struct sim_cluster *cluster)
{
    for (guint i = cluster->watches->len; i > 0 && !cluster->store_down; i--) {
        struct watch *watch = g_ptr_array_index(cluster->watches, i - 1);
        if (watch->controller == cluster->isolated_controller ||
            watch->controller == cluster->controller_without_store)
            continue;
        GArray *items = sim_changes_since(cluster, watch->prefix, watch->since);
        if ((items->len == 0 || cluster->silent_watches) && cluster->now < watch->until) {
            g_array_free(items, TRUE);
            continue;
        }
        answer_changes(cluster, watch->controller, watch->nonce, watch->tag, items);
        free_watch(watch);
        g_ptr_array_remove_index_fast(cluster->watches, i - 1);
    }
}

void sim_store_step(struct sim_cluster *cluster)
{
    sim_expire_leases(cluster);
    sim_extend_leases(cluster);
    release_delayed_txns(cluster);
    answer_watches(cluster);
}
