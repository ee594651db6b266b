#include "model/store.h"

#include <string.h>

static void comparison_clear(void *item)
{
    g_free(((struct ow_store_comparison *)item)->key);
}

static void mutation_clear(void *item)
{
    struct ow_store_mutation *mutation = item;
    g_free(mutation->key);
    g_free(mutation->value);
}

struct ow_store_request *ow_store_request_new(enum ow_store_op op, const char *key)
{
    struct ow_store_request *request = g_new0(struct ow_store_request, 1);
    request->op = op;
    request->key = g_strdup(key);
    if (op == OW_STORE_TXN) {
        request->comparisons = g_array_new(FALSE, FALSE, sizeof(struct ow_store_comparison));
        g_array_set_clear_func(request->comparisons, comparison_clear);
        request->mutations = g_array_new(FALSE, FALSE, sizeof(struct ow_store_mutation));
        g_array_set_clear_func(request->mutations, mutation_clear);
    }
    return request;
}

void ow_store_request_free(struct ow_store_request *request)
{
    if (request == NULL)
        return;
    g_free(request->key);
    g_free(request->start_after_key);
    if (request->comparisons != NULL)
        g_array_free(request->comparisons, TRUE);
    if (request->mutations != NULL)
        g_array_free(request->mutations, TRUE);
    g_free(request);
}

void ow_store_request_compare(struct ow_store_request *request, const char *key, uint64_t mod_revision)
{
    struct ow_store_comparison comparison = {.key = g_strdup(key), .mod_revision = mod_revision};
    g_array_append_val(request->comparisons, comparison);
}

/* NOLINTNEXTLINE(readability-non-const-parameter): owned by the request and freed later */
void ow_store_request_put(struct ow_store_request *request, const char *key, char *value, uint64_t lease)
{
    struct ow_store_mutation mutation = {.key = g_strdup(key), .value = value, .lease = lease};
    g_array_append_val(request->mutations, mutation);
}

size_t ow_store_request_largest_value(const struct ow_store_request *request)
{
    size_t largest = 0;
    for (guint i = 0; i < request->mutations->len; i++) {
        const char *value = g_array_index(request->mutations, struct ow_store_mutation, i).value;
        largest = value != NULL ? MAX(largest, strlen(value)) : largest;
    }
    return largest;
}

bool ow_store_reply_failed_on(const struct ow_store_reply *reply, const char *key)
{
    return reply->failed_keys != NULL && g_strv_contains((const char *const *)reply->failed_keys, key);
}

void ow_store_reply_clear(struct ow_store_reply *reply)
{
    if (reply->items != NULL)
        g_array_free(reply->items, TRUE);
    g_strfreev(reply->failed_keys);
    reply->items = NULL;
    reply->failed_keys = NULL;
}
