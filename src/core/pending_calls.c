#include "core/pending_calls.h"

#include "model/event.h"

#include <glib.h>

struct call {
    uint64_t tag;
    ow_call_fn fn;
    void *owner;
    void *data;
    void (*free_data)(void *); /* NULL: nothing to free */
};

struct ow_pending_calls {
    GHashTable *by_tag; /* uint64_t, in the call -> struct call, owned */
    uint64_t last_tag;
};

static void call_free(void *item)
{
    struct call *call = item;
    if (call->free_data != NULL)
        call->free_data(call->data);
    g_free(call);
}

struct ow_pending_calls *ow_pending_calls_new(void)
{
    struct ow_pending_calls *calls = g_new0(struct ow_pending_calls, 1);
    calls->by_tag = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, call_free);
    return calls;
}

void ow_pending_calls_free(struct ow_pending_calls *calls)
{
    if (calls == NULL)
        return;
    g_hash_table_destroy(calls->by_tag);
    g_free(calls);
}

uint64_t ow_pending_calls_add(struct ow_pending_calls *calls, ow_call_fn fn, void *owner, void *data,
                              void (*free_data)(void *))
{
    struct call *call = g_new0(struct call, 1);
    *call = (struct call){
        .tag = ++calls->last_tag,
        .fn = fn,
        .owner = owner,
        .data = data,
        .free_data = free_data,
    };
    g_hash_table_insert(calls->by_tag, &call->tag, call);
    return call->tag;
}

void ow_pending_calls_answer(struct ow_pending_calls *calls, uint64_t tag, const struct ow_event *answer)
{
    struct call *call = g_hash_table_lookup(calls->by_tag, &tag);
    if (call == NULL)
        return;
    /* Removed first: the callback may free the owner, which forgets all of its calls. */
    g_hash_table_steal(calls->by_tag, &tag);
    call->fn(call->owner, call->data, answer);
    call_free(call);
}

static gboolean is_owned_by(gpointer key, gpointer value, gpointer owner)
{
    (void)key;
    return ((struct call *)value)->owner == owner;
}

void ow_pending_calls_forget(struct ow_pending_calls *calls, const void *owner)
{
    g_hash_table_foreach_remove(calls->by_tag, is_owned_by, (gpointer)owner);
}
