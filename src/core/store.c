#include "core/store.h"

#include <string.h>

static void condition_clear(void *item)
{
    g_free(((struct ow_condition *)item)->key);
}

static void change_clear(void *item)
{
    struct ow_change *change = item;
    g_free(change->key);
    g_free(change->value);
}

struct ow_store_request *ow_store_request_new(enum ow_store_op op, const char *key)
{
    struct ow_store_request *request = g_new0(struct ow_store_request, 1);
    request->op = op;
    request->key = g_strdup(key);
    if (op == OW_STORE_TXN) {
        request->conditions = g_array_new(FALSE, FALSE, sizeof(struct ow_condition));
        g_array_set_clear_func(request->conditions, condition_clear);
        request->changes = g_array_new(FALSE, FALSE, sizeof(struct ow_change));
        g_array_set_clear_func(request->changes, change_clear);
    }
    return request;
}

void ow_store_request_free(struct ow_store_request *request)
{
    if (request == NULL)
        return;
    g_free(request->key);
    g_free(request->after);
    if (request->conditions != NULL)
        g_array_free(request->conditions, TRUE);
    if (request->changes != NULL)
        g_array_free(request->changes, TRUE);
    g_free(request);
}

void ow_store_expect(struct ow_store_request *request, const char *key, uint64_t version)
{
    struct ow_condition condition = {g_strdup(key), version};
    g_array_append_val(request->conditions, condition);
}

void ow_store_write(struct ow_store_request *request, const char *key, char *value, uint64_t lease)
{
    struct ow_change change = {g_strdup(key), value, lease};
    g_array_append_val(request->changes, change);
}

size_t ow_store_largest_value(const struct ow_store_request *request)
{
    size_t largest = 0;
    for (guint i = 0; i < request->changes->len; i++) {
        const char *value = g_array_index(request->changes, struct ow_change, i).value;
        largest = value != NULL ? MAX(largest, strlen(value)) : largest;
    }
    return largest;
}

void ow_store_reply_clear(struct ow_store_reply *reply)
{
    if (reply->items != NULL)
        g_array_free(reply->items, TRUE);
    g_strfreev(reply->failed);
    reply->items = NULL;
    reply->failed = NULL;
}
