/* The simulated key-value store: requests, watches and leases. */
#include "sim_store_parts.h"
#include "model/effect.h"
#include "model/event.h"

#include <string.h>

enum { PAGE_ITEMS = 1000, PAGE_BYTES = 500 * 1024 };

struct held_txn {
    int controller;
    uint64_t nonce;
    struct ow_store_request *request;
    double deadline;
};

struct follow {
    int controller;
    uint64_t nonce, tag, since;
    char *prefix;
    double until;
};

static void event_clear(void *item)
{
    struct sim_event *change = item;
    g_free(change->key);
    g_free(change->text);
}

static void free_follow(struct follow *follow)
{
    g_free(follow->prefix);
    g_free(follow);
}

void sim_state_init(struct sim_cluster *cluster)
{
    cluster->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, sim_value_free);
    cluster->log = g_array_new(FALSE, FALSE, sizeof(struct sim_event));
    g_array_set_clear_func(cluster->log, event_clear);
    cluster->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    cluster->revision = 1;
    cluster->held = g_ptr_array_new();
    cluster->follows = g_ptr_array_new();
}

void sim_state_clear(struct sim_cluster *cluster)
{
    for (guint i = 0; i < cluster->held->len; i++) {
        struct held_txn *held = g_ptr_array_index(cluster->held, i);
        ow_store_request_free(held->request);
        g_free(held);
    }
    for (guint i = 0; i < cluster->follows->len; i++)
        free_follow(g_ptr_array_index(cluster->follows, i));
    g_ptr_array_free(cluster->held, TRUE);
    g_ptr_array_free(cluster->follows, TRUE);
    g_hash_table_destroy(cluster->keys);
    g_hash_table_destroy(cluster->leases);
    g_array_free(cluster->log, TRUE);
}

static double answer_time(const struct sim_cluster *cluster, int controller)
{
    return 0.01 + (cluster->slow_controller < 0 || controller == cluster->slow_controller
                       ? cluster->store_slow_s
                       : 0);
}

static void answer_page(struct sim_cluster *cluster, int controller, uint64_t nonce, uint64_t tag,
                        GArray *items, bool more)
{
    struct ow_event *event = sim_command(OW_EVENT_STORE, tag);
    event->store = (struct ow_store_reply){tag, 200, cluster->revision, 0, more, items, NULL};
    sim_deliver(cluster, controller, nonce, answer_time(cluster, controller), event);
}

static void answer_store(struct sim_cluster *cluster, int controller, uint64_t nonce, uint64_t tag,
                         int status, GArray *items, uint64_t lease, char **failed)
{
    struct ow_event *event = sim_command(OW_EVENT_STORE, tag);
    event->store = (struct ow_store_reply){
        tag, status, cluster->revision, lease, false, items != NULL ? items : sim_new_items(), failed};
    sim_deliver(cluster, controller, nonce, answer_time(cluster, controller), event);
}

static void do_txn(struct sim_cluster *cluster, int controller, uint64_t nonce,
                   const struct ow_store_request *request)
{
    char **failed = NULL;
    int status = sim_apply_txn(cluster, request, &failed);
    cluster->txns++;
    if (status != 409)
        g_clear_pointer(&failed, g_strfreev);
    if (cluster->lose_txn_answers) {
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
    GArray *items = sim_new_items();
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
        sim_add_item(items, g_ptr_array_index(keys, items->len), value->text, value->version);
    }
    answer_page(cluster, controller, nonce, request->tag, items, items->len < keys->len);
    g_ptr_array_free(keys, TRUE);
}

/* Answers a watch, taking over the changes: with too many of them the client takes in none. */
static void answer_changes(struct sim_cluster *cluster, int controller, uint64_t nonce, uint64_t tag,
                           GArray *items)
{
    bool too_large = cluster->changes_most > 0 && items->len > cluster->changes_most;
    if (too_large)
        g_array_set_size(items, 0);
    answer_store(cluster, controller, nonce, tag, too_large ? 413 : 200, items, 0, NULL);
}

static void do_follow(struct sim_cluster *cluster, int controller, uint64_t nonce,
                      const struct ow_store_request *request)
{
    GArray *items = sim_changes_since(cluster, request->key, request->since_revision);
    if (items->len > 0 || request->duration_s <= 0) {
        answer_changes(cluster, controller, nonce, request->tag, items);
        return;
    }
    g_array_free(items, TRUE);
    struct follow *follow = g_new0(struct follow, 1);
    *follow = (struct follow){controller,
                              nonce,
                              request->tag,
                              request->since_revision,
                              g_strdup(request->key),
                              cluster->now + request->duration_s};
    g_ptr_array_add(cluster->follows, follow);
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
    GArray *items = sim_new_items();
    if (value != NULL)
        sim_add_item(items, request->key, value->text, value->version);
    answer_store(cluster, controller, nonce, request->tag, value != NULL ? 200 : 404, items, 0, NULL);
}

void sim_state_take(struct sim_cluster *cluster, int controller, struct ow_effect *effect)
{
    const struct ow_store_request *request = effect->store;
    uint64_t nonce = cluster->controller_nonce[controller];
    cluster->store_requests++;
    cluster->store_mutations += request->mutations != NULL ? request->mutations->len : 0;
    if (controller == cluster->isolated_controller) {
        struct ow_event *event = sim_command(OW_EVENT_STORE, request->tag);
        event->store = (struct ow_store_reply){.tag = request->tag, .items = sim_new_items()};
        sim_deliver(cluster, controller, nonce, 1.5, event);
        return;
    }
    if (cluster->store_down || controller == cluster->denied_controller) {
        answer_store(cluster, controller, nonce, request->tag, 503, NULL, 0, NULL);
        return;
    }
    switch (request->op) {
    case OW_STORE_TXN: {
        bool next = cluster->hold_next > 0 && controller == cluster->hold_controller;
        if (cluster->hold_txns || next) {
            cluster->hold_next -= next ? 1 : 0;
            struct held_txn *held = g_new0(struct held_txn, 1);
            *held = (struct held_txn){controller, nonce, g_steal_pointer(&effect->store), cluster->now + 1.5};
            g_ptr_array_add(cluster->held, held);
            return;
        }
        do_txn(cluster, controller, nonce, request);
        return;
    }
    case OW_STORE_LIST:
        do_list(cluster, controller, nonce, request);
        return;
    case OW_STORE_WATCH:
        do_follow(cluster, controller, nonce, request);
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

static void release_held(struct sim_cluster *cluster)
{
    for (guint i = cluster->held->len; i > 0; i--) {
        struct held_txn *held = g_ptr_array_index(cluster->held, i - 1);
        /* The controller's request has timed out; the transaction stays in flight. */
        if (held->nonce != 0 && cluster->now > held->deadline) {
            answer_store(cluster, held->controller, held->nonce, held->request->tag, 0, NULL, 0, NULL);
            held->nonce = 0;
        }
        if (cluster->hold_txns || cluster->keep_held)
            continue;
        if (held->nonce != 0) {
            do_txn(cluster, held->controller, held->nonce, held->request);
        } else {
            char **failed = NULL;
            sim_apply_txn(cluster, held->request, &failed);
            g_strfreev(failed);
        }
        ow_store_request_free(held->request);
        g_free(held);
        g_ptr_array_remove_index(cluster->held, i - 1);
    }
}

static void answer_watches(struct sim_cluster *cluster)
{
    for (guint i = cluster->follows->len; i > 0 && !cluster->store_down; i--) {
        struct follow *follow = g_ptr_array_index(cluster->follows, i - 1);
        if (follow->controller == cluster->isolated_controller ||
            follow->controller == cluster->denied_controller)
            continue;
        GArray *items = sim_changes_since(cluster, follow->prefix, follow->since);
        if ((items->len == 0 || cluster->silent_watches) && cluster->now < follow->until) {
            g_array_free(items, TRUE);
            continue;
        }
        answer_changes(cluster, follow->controller, follow->nonce, follow->tag, items);
        free_follow(follow);
        g_ptr_array_remove_index_fast(cluster->follows, i - 1);
    }
}

void sim_state_step(struct sim_cluster *cluster)
{
    sim_expire_leases(cluster);
    sim_extend_leases(cluster);
    release_held(cluster);
    answer_watches(cluster);
}
