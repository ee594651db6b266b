/* The simulated key-value store: requests, watches and leases. */
#include "world_state_parts.h"

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
    struct world_event *change = item;
    g_free(change->key);
    g_free(change->text);
}

static void free_follow(struct follow *follow)
{
    g_free(follow->prefix);
    g_free(follow);
}

void world_state_init(struct world *w)
{
    w->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, world_value_free);
    w->log = g_array_new(FALSE, FALSE, sizeof(struct world_event));
    g_array_set_clear_func(w->log, event_clear);
    w->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    w->revision = 1;
    w->held = g_ptr_array_new();
    w->follows = g_ptr_array_new();
}

void world_state_clear(struct world *w)
{
    for (guint i = 0; i < w->held->len; i++) {
        struct held_txn *held = g_ptr_array_index(w->held, i);
        ow_store_request_free(held->request);
        g_free(held);
    }
    for (guint i = 0; i < w->follows->len; i++)
        free_follow(g_ptr_array_index(w->follows, i));
    g_ptr_array_free(w->held, TRUE);
    g_ptr_array_free(w->follows, TRUE);
    g_hash_table_destroy(w->keys);
    g_hash_table_destroy(w->leases);
    g_array_free(w->log, TRUE);
}

static double answer_time(const struct world *w, int controller)
{
    return 0.01 + (w->slow_controller < 0 || controller == w->slow_controller ? w->store_slow_s : 0);
}

static void answer_page(struct world *w, int controller, uint64_t nonce, uint64_t tag, GArray *items,
                        bool more)
{
    struct ow_event *event = world_command(OW_EVENT_STORE, tag);
    event->store = (struct ow_store_reply){tag, 200, w->revision, 0, more, items, NULL};
    world_deliver(w, controller, nonce, answer_time(w, controller), event);
}

static void answer_store(struct world *w, int controller, uint64_t nonce, uint64_t tag, int status,
                         GArray *items, uint64_t lease, char **failed)
{
    struct ow_event *event = world_command(OW_EVENT_STORE, tag);
    event->store = (struct ow_store_reply){
        tag, status, w->revision, lease, false, items != NULL ? items : world_new_items(), failed};
    world_deliver(w, controller, nonce, answer_time(w, controller), event);
}

static void do_txn(struct world *w, int controller, uint64_t nonce, const struct ow_store_request *request)
{
    char **failed = NULL;
    int status = world_apply_txn(w, request, &failed);
    w->txns++;
    if (status != 409)
        g_clear_pointer(&failed, g_strfreev);
    if (w->lose_txn_answers) {
        g_strfreev(failed);
        answer_store(w, controller, nonce, request->tag, 0, NULL, 0, NULL);
    } else {
        answer_store(w, controller, nonce, request->tag, status, NULL, 0, failed);
    }
}

static gint by_key(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* A page of the list: so many items, and so many bytes. */
static void do_list(struct world *w, int controller, uint64_t nonce, const struct ow_store_request *request)
{
    GPtrArray *keys = g_ptr_array_new();
    GArray *items = world_new_items();
    GHashTableIter iter;
    void *key;
    size_t bytes = 0;
    g_hash_table_iter_init(&iter, w->keys);
    while (g_hash_table_iter_next(&iter, &key, NULL))
        if (g_str_has_prefix(key, request->key) &&
            (request->after == NULL || strcmp(key, request->after) > 0))
            g_ptr_array_add(keys, key);
    g_ptr_array_sort(keys, by_key);
    while (items->len < keys->len && items->len < PAGE_ITEMS && bytes < PAGE_BYTES) {
        const struct world_value *value = g_hash_table_lookup(w->keys, g_ptr_array_index(keys, items->len));
        bytes += strlen(value->text);
        world_add_item(items, g_ptr_array_index(keys, items->len), value->text, value->version);
    }
    answer_page(w, controller, nonce, request->tag, items, items->len < keys->len);
    g_ptr_array_free(keys, TRUE);
}

/* Answers a watch, taking over the changes: with too many of them the client takes in none. */
static void answer_changes(struct world *w, int controller, uint64_t nonce, uint64_t tag, GArray *items)
{
    bool too_large = w->changes_most > 0 && items->len > w->changes_most;
    if (too_large)
        g_array_set_size(items, 0);
    answer_store(w, controller, nonce, tag, too_large ? 413 : 200, items, 0, NULL);
}

static void do_follow(struct world *w, int controller, uint64_t nonce, const struct ow_store_request *request)
{
    GArray *items = world_changes_since(w, request->key, request->number);
    if (items->len > 0 || request->seconds <= 0) {
        answer_changes(w, controller, nonce, request->tag, items);
        return;
    }
    g_array_free(items, TRUE);
    struct follow *follow = g_new0(struct follow, 1);
    *follow = (struct follow){
        controller, nonce, request->tag, request->number, g_strdup(request->key), w->now + request->seconds};
    g_ptr_array_add(w->follows, follow);
}

static void do_lease(struct world *w, int controller, uint64_t nonce, const struct ow_store_request *request)
{
    uint64_t *id = g_new(uint64_t, 1);
    double *until = g_new(double, 1);
    *id = ++w->last_lease;
    *until = w->now + request->seconds;
    g_hash_table_replace(w->leases, id, until);
    answer_store(w, controller, nonce, request->tag, 200, NULL, *id, NULL);
}

static void do_renew(struct world *w, int controller, uint64_t nonce, const struct ow_store_request *request)
{
    double *until = g_hash_table_lookup(w->leases, &request->number);
    if (until != NULL)
        *until = w->now + w->tuning.leader_lease_s;
    answer_store(w, controller, nonce, request->tag, until != NULL ? 200 : 404, NULL, 0, NULL);
}

static void do_get(struct world *w, int controller, uint64_t nonce, const struct ow_store_request *request)
{
    const struct world_value *value = g_hash_table_lookup(w->keys, request->key);
    GArray *items = world_new_items();
    if (value != NULL)
        world_add_item(items, request->key, value->text, value->version);
    answer_store(w, controller, nonce, request->tag, value != NULL ? 200 : 404, items, 0, NULL);
}

void world_state_take(struct world *w, int controller, struct ow_effect *effect)
{
    const struct ow_store_request *request = effect->store;
    uint64_t nonce = w->controller_nonce[controller];
    w->store_requests++;
    w->store_mutations += request->mutations != NULL ? request->mutations->len : 0;
    if (controller == w->isolated_controller) {
        struct ow_event *event = world_command(OW_EVENT_STORE, request->tag);
        event->store = (struct ow_store_reply){.tag = request->tag, .items = world_new_items()};
        world_deliver(w, controller, nonce, 1.5, event);
        return;
    }
    if (w->store_down || controller == w->denied_controller) {
        answer_store(w, controller, nonce, request->tag, 503, NULL, 0, NULL);
        return;
    }
    switch (request->op) {
    case OW_STORE_TXN: {
        bool next = w->hold_next > 0 && controller == w->hold_controller;
        if (w->hold_txns || next) {
            w->hold_next -= next ? 1 : 0;
            struct held_txn *held = g_new0(struct held_txn, 1);
            *held = (struct held_txn){controller, nonce, g_steal_pointer(&effect->store), w->now + 1.5};
            g_ptr_array_add(w->held, held);
            return;
        }
        do_txn(w, controller, nonce, request);
        return;
    }
    case OW_STORE_LIST:
        do_list(w, controller, nonce, request);
        return;
    case OW_STORE_WATCH:
        do_follow(w, controller, nonce, request);
        return;
    case OW_STORE_GRANT_LEASE:
        do_lease(w, controller, nonce, request);
        return;
    case OW_STORE_KEEP_ALIVE:
        do_renew(w, controller, nonce, request);
        return;
    case OW_STORE_GET:
        do_get(w, controller, nonce, request);
        return;
    }
}

static void release_held(struct world *w)
{
    for (guint i = w->held->len; i > 0; i--) {
        struct held_txn *held = g_ptr_array_index(w->held, i - 1);
        /* The controller's request has timed out; the transaction stays in flight. */
        if (held->nonce != 0 && w->now > held->deadline) {
            answer_store(w, held->controller, held->nonce, held->request->tag, 0, NULL, 0, NULL);
            held->nonce = 0;
        }
        if (w->hold_txns || w->keep_held)
            continue;
        if (held->nonce != 0) {
            do_txn(w, held->controller, held->nonce, held->request);
        } else {
            char **failed = NULL;
            world_apply_txn(w, held->request, &failed);
            g_strfreev(failed);
        }
        ow_store_request_free(held->request);
        g_free(held);
        g_ptr_array_remove_index(w->held, i - 1);
    }
}

static void answer_watches(struct world *w)
{
    for (guint i = w->follows->len; i > 0 && !w->store_down; i--) {
        struct follow *follow = g_ptr_array_index(w->follows, i - 1);
        if (follow->controller == w->isolated_controller || follow->controller == w->denied_controller)
            continue;
        GArray *items = world_changes_since(w, follow->prefix, follow->since);
        if ((items->len == 0 || w->silent_watches) && w->now < follow->until) {
            g_array_free(items, TRUE);
            continue;
        }
        answer_changes(w, follow->controller, follow->nonce, follow->tag, items);
        free_follow(follow);
        g_ptr_array_remove_index_fast(w->follows, i - 1);
    }
}

void world_state_step(struct world *w)
{
    world_expire_leases(w);
    world_extend_leases(w);
    release_held(w);
    answer_watches(w);
}
