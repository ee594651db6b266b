#include "sharding/shard_keys.h"

#include "model/records.h"

#include <string.h>

/* Precedes the name of a shard. No key outside of shards begins with it. */
#define SHARDS_PREFIX "shard/"

char *ow_shard_keys_prefix_new(const char *shard)
{
    return strcmp(shard, OW_DEFAULT_SHARD) == 0 ? NULL : g_strconcat(SHARDS_PREFIX, shard, "/", NULL);
}

/* ---- requests ---- */

static void qualify(char **key, const char *prefix)
{
    g_autofree char *plain = *key;
    *key = g_strconcat(prefix, plain, NULL);
}

static void qualify_comparisons(GArray *comparisons, const char *prefix)
{
    for (guint i = 0; i < comparisons->len; i++) {
        struct ow_store_comparison *comparison = &g_array_index(comparisons, struct ow_store_comparison, i);
        /* Comparisons added by ow_shard_keys_guard_new_job() have the prefix of their shard already. */
        if (!g_str_has_prefix(comparison->key, SHARDS_PREFIX))
            qualify(&comparison->key, prefix);
    }
}

void ow_shard_keys_qualify(struct ow_store_request *request, const char *prefix)
{
    if (prefix == NULL)
        return;
    if (request->key != NULL)
        qualify(&request->key, prefix);
    if (request->start_after_key != NULL)
        qualify(&request->start_after_key, prefix);
    if (request->comparisons != NULL)
        qualify_comparisons(request->comparisons, prefix);
    for (guint i = 0; request->mutations != NULL && i < request->mutations->len; i++)
        qualify(&g_array_index(request->mutations, struct ow_store_mutation, i).key, prefix);
}

/* ---- replies ---- */

static void strip(char *key, const char *prefix)
{
    size_t size = strlen(prefix);
    if (key != NULL && strncmp(key, prefix, size) == 0)
        memmove(key, key + size, strlen(key + size) + 1);
}

void ow_shard_keys_strip(struct ow_store_reply *reply, const char *prefix)
{
    if (prefix == NULL)
        return;
    for (guint i = 0; reply->items != NULL && i < reply->items->len; i++)
        strip(g_array_index(reply->items, struct ow_store_item, i).key, prefix);
    for (char **failed = reply->failed_keys; failed != NULL && *failed != NULL; failed++)
        strip(*failed, prefix);
}

/* ---- new jobs ---- */

/* The key of the job that the request creates, or NULL if it creates none. */
static const char *accepted_job_key(const struct ow_store_request *request)
{
    if (request->op != OW_STORE_TXN || request->comparisons->len != 1)
        return NULL;
    const struct ow_store_comparison *comparison =
        &g_array_index(request->comparisons, struct ow_store_comparison, 0);
    bool is_new = comparison->mod_revision == 0 && g_str_has_prefix(comparison->key, OW_KEY_JOBS);
    return is_new ? comparison->key : NULL;
}

void ow_shard_keys_guard_new_job(struct ow_store_request *request, const GPtrArray *prefixes,
                                 const char *own_prefix)
{
    /* Copied, because adding comparisons below may move the array that holds the key. */
    g_autofree char *job_key = g_strdup(accepted_job_key(request));
    if (job_key == NULL)
        return;
    for (guint i = 0; i < prefixes->len; i++) {
        const char *prefix = g_ptr_array_index(prefixes, i);
        if (prefix == NULL || g_strcmp0(prefix, own_prefix) == 0)
            continue;
        g_autofree char *key = g_strconcat(prefix, job_key, NULL);
        ow_store_request_compare(request, key, 0);
    }
}
