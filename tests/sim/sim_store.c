/* The simulated key-value store: its requests and responses, and delayed transactions. Tests may take it down
 * for all controllers (`store_down`) or for one (`controller_without_store`), add latency
 * (`store_latency_s`), delay transactions (`delay_txns`, `delay_next_txns`, `keep_txns_delayed`), drop their
 * responses (`lose_txn_responses`), withhold the responses of watches (`silent_watches`), and limit their
 * size (`watch_changes_max`). */
#include "sim_store_internal.h"
#include "model/effect.h"
#include "model/event.h"

#include <string.h>

/* The time after which a controller abandons a request. */
static const double STORE_TIMEOUT_S = 1.5;
/* Limits of one page of a list. */
enum { PAGE_ITEMS = 1000, PAGE_BYTES = 500 * 1024 };

struct delayed_txn {
    int controller;
    uint64_t nonce;
    struct ow_store_request *request;
    double deadline;
};

static void change_clear(void *item)
{
    struct sim_change *change = item;
    g_free(change->key);
    g_free(change->text);
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
    g_ptr_array_free(cluster->delayed_txns, TRUE);
    sim_watches_clear(cluster);
    g_hash_table_destroy(cluster->keys);
    g_hash_table_destroy(cluster->leases);
    g_array_free(cluster->changes, TRUE);
}

static double response_latency_s(const struct sim_cluster *cluster, int controller)
{
    return 0.01 + (cluster->store_latency_controller < 0 || controller == cluster->store_latency_controller
                       ? cluster->store_latency_s
                       : 0);
}

void sim_store_respond(struct sim_cluster *cluster, int controller, uint64_t nonce,
                       struct ow_store_reply reply)
{
    struct ow_event *event = ow_event_new(OW_EVENT_STORE, reply.tag);
    event->store = reply;
    event->store.revision = cluster->revision;
    if (reply.items == NULL)
        event->store.items = sim_store_items_new();
    sim_deliver(cluster, controller, nonce, response_latency_s(cluster, controller), event);
}

static void handle_txn(struct sim_cluster *cluster, int controller, uint64_t nonce,
                       const struct ow_store_request *request)
{
    char **failed = NULL;
    int status = sim_apply_txn(cluster, request, &failed);
    cluster->txn_count++;
    if (status != 409)
        g_clear_pointer(&failed, g_strfreev);
    if (cluster->lose_txn_responses) {
        g_strfreev(failed);
        sim_store_respond(cluster, controller, nonce,
                          (struct ow_store_reply){.tag = request->tag, .status = 0});
    } else {
        sim_store_respond(
            cluster, controller, nonce,
            (struct ow_store_reply){.tag = request->tag, .status = status, .failed_keys = failed});
    }
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Answers one page of the list, limited in items and bytes. */
static void handle_list(struct sim_cluster *cluster, int controller, uint64_t nonce,
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
    g_ptr_array_sort(keys, compare_keys);
    while (items->len < keys->len && items->len < PAGE_ITEMS && bytes < PAGE_BYTES) {
        const struct sim_value *value =
            g_hash_table_lookup(cluster->keys, g_ptr_array_index(keys, items->len));
        bytes += strlen(value->text);
        sim_store_items_add(items, g_ptr_array_index(keys, items->len), value->text, value->version);
    }
    sim_store_respond(
        cluster, controller, nonce,
        (struct ow_store_reply){
            .tag = request->tag, .status = 200, .has_more = items->len < keys->len, .items = items});
    g_ptr_array_free(keys, TRUE);
}

static void handle_lease(struct sim_cluster *cluster, int controller, uint64_t nonce,
                         const struct ow_store_request *request)
{
    uint64_t *id = g_new(uint64_t, 1);
    double *expires_at = g_new(double, 1);
    *id = ++cluster->last_lease;
    *expires_at = cluster->now + request->duration_s;
    g_hash_table_replace(cluster->leases, id, expires_at);
    sim_store_respond(cluster, controller, nonce,
                      (struct ow_store_reply){.tag = request->tag, .status = 200, .lease = *id});
}

static void handle_renew(struct sim_cluster *cluster, int controller, uint64_t nonce,
                         const struct ow_store_request *request)
{
    double *expires_at = g_hash_table_lookup(cluster->leases, &request->lease);
    if (expires_at != NULL)
        *expires_at = cluster->now + cluster->tuning.leader_lease_s;
    sim_store_respond(cluster, controller, nonce,
                      (struct ow_store_reply){.tag = request->tag, .status = expires_at != NULL ? 200 : 404});
}

static void handle_get(struct sim_cluster *cluster, int controller, uint64_t nonce,
                       const struct ow_store_request *request)
{
    const struct sim_value *value = g_hash_table_lookup(cluster->keys, request->key);
    GArray *items = sim_store_items_new();
    if (value != NULL)
        sim_store_items_add(items, request->key, value->text, value->version);
    sim_store_respond(
        cluster, controller, nonce,
        (struct ow_store_reply){.tag = request->tag, .status = value != NULL ? 200 : 404, .items = items});
}

/* Whether the controller's next transaction is to be delayed; decrements `delay_next_txns` if it applies. */
static bool is_delayed(struct sim_cluster *cluster, int controller)
{
    bool is_next = cluster->delay_next_txns > 0 && controller == cluster->delay_next_controller;
    cluster->delay_next_txns -= is_next ? 1 : 0;
    return is_next || cluster->delay_txns;
}

/* Keeps the transaction until it is released; takes ownership of the request. */
static void delay_txn(struct sim_cluster *cluster, int controller, struct ow_store_request *request)
{
    struct delayed_txn *delayed = g_new0(struct delayed_txn, 1);
    *delayed = (struct delayed_txn){.controller = controller,
                                    .nonce = cluster->process_nonce[controller],
                                    .request = request,
                                    .deadline = cluster->now + STORE_TIMEOUT_S};
    g_ptr_array_add(cluster->delayed_txns, delayed);
}

/* Lets the request of an isolated controller time out. */
static void time_out_request(struct sim_cluster *cluster, int controller, uint64_t tag)
{
    struct ow_event *event = ow_event_new(OW_EVENT_STORE, tag);
    event->store = (struct ow_store_reply){.tag = tag, .items = sim_store_items_new()};
    sim_deliver(cluster, controller, cluster->process_nonce[controller], STORE_TIMEOUT_S, event);
}

static void handle_request(struct sim_cluster *cluster, int controller, struct ow_effect *effect)
{
    const struct ow_store_request *request = effect->store;
    uint64_t nonce = cluster->process_nonce[controller];
    switch (request->op) {
    case OW_STORE_TXN:
        if (is_delayed(cluster, controller))
            delay_txn(cluster, controller, g_steal_pointer(&effect->store));
        else
            handle_txn(cluster, controller, nonce, request);
        return;
    case OW_STORE_LIST:
        handle_list(cluster, controller, nonce, request);
        return;
    case OW_STORE_WATCH:
        sim_store_watch(cluster, controller, nonce, request);
        return;
    case OW_STORE_GRANT_LEASE:
        handle_lease(cluster, controller, nonce, request);
        return;
    case OW_STORE_KEEP_ALIVE:
        handle_renew(cluster, controller, nonce, request);
        return;
    case OW_STORE_GET:
        handle_get(cluster, controller, nonce, request);
        return;
    }
}

void sim_store_handle_request(struct sim_cluster *cluster, int controller, struct ow_effect *effect)
{
    const struct ow_store_request *request = effect->store;
    cluster->store_requests++;
    cluster->store_mutations += request->mutations != NULL ? request->mutations->len : 0;
    if (controller == cluster->isolated_controller)
        time_out_request(cluster, controller, request->tag);
    else if (cluster->store_down || controller == cluster->controller_without_store)
        sim_store_respond(cluster, controller, cluster->process_nonce[controller],
                          (struct ow_store_reply){.tag = request->tag, .status = 503});
    else
        handle_request(cluster, controller, effect);
}

static void release_delayed_txns(struct sim_cluster *cluster)
{
    for (guint i = cluster->delayed_txns->len; i > 0; i--) {
        struct delayed_txn *delayed = g_ptr_array_index(cluster->delayed_txns, i - 1);
        /* The controller's request has timed out, but the transaction may still be applied later. */
        if (delayed->nonce != 0 && cluster->now > delayed->deadline) {
            sim_store_respond(cluster, delayed->controller, delayed->nonce,
                              (struct ow_store_reply){.tag = delayed->request->tag, .status = 0});
            delayed->nonce = 0;
        }
        if (cluster->delay_txns || cluster->keep_txns_delayed)
            continue;
        if (delayed->nonce != 0) {
            handle_txn(cluster, delayed->controller, delayed->nonce, delayed->request);
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

void sim_store_step(struct sim_cluster *cluster)
{
    sim_expire_leases(cluster);
    sim_extend_leases(cluster);
    release_delayed_txns(cluster);
    sim_answer_watches(cluster);
}
