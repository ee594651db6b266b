#include "wire/store_json.h"

#include "model/http_status.h"
#include "wire/json.h"
#include "wire/words.h"

#include <inttypes.h>

enum { LIST_PAGE = 500 };

static char *txn_body(const struct ow_store_request *request)
{
    json_t *comparisons = json_array(), *mutations = json_array();
    for (guint i = 0; i < request->comparisons->len; i++) {
        const struct ow_store_comparison *comparison =
            &g_array_index(request->comparisons, struct ow_store_comparison, i);
        json_array_append_new(comparisons, json_pack("{s:s,s:I}", W_KEY, comparison->key, W_VERSION,
                                                     (json_int_t)comparison->mod_revision));
    }
    for (guint i = 0; i < request->mutations->len; i++) {
        const struct ow_store_mutation *change =
            &g_array_index(request->mutations, struct ow_store_mutation, i);
        json_t *object;
        if (change->value == NULL)
            object = json_pack("{s:s}", W_DELETE, change->key);
        else
            object = json_pack("{s:s,s:o}", W_PUT, change->key, W_VALUE,
                               json_loads(change->value, JSON_DECODE_ANY, NULL));
        if (change->lease != 0)
            json_object_set_new(object, W_LEASE, json_integer((json_int_t)change->lease));
        json_array_append_new(mutations, object);
    }
    return wire_json_print_and_unref(
        json_pack("{s:o,s:o}", W_COMPARISONS, comparisons, W_MUTATIONS, mutations));
}

static char *list_path(const struct ow_store_request *request)
{
    if (request->start_after_key == NULL)
        return g_strdup_printf("%s?%s=%s&%s=%d", W_PATH_KEYS, W_PREFIX, request->key, W_LIMIT, LIST_PAGE);
    return g_strdup_printf("%s?%s=%s&%s=%s&%s=%d", W_PATH_KEYS, W_PREFIX, request->key, W_AFTER,
                           request->start_after_key, W_LIMIT, LIST_PAGE);
}

struct wire_http_request wire_store_request_encode(const struct ow_store_request *request)
{
    struct wire_http_request http = {.method = "GET"};
    switch (request->op) {
    case OW_STORE_GET:
        http.path = g_strdup_printf("%s/%s", W_PATH_KEYS, request->key);
        break;
    case OW_STORE_LIST:
        http.path = list_path(request);
        break;
    case OW_STORE_TXN:
        http.method = "POST";
        http.path = g_strdup(W_PATH_TXN);
        http.body = txn_body(request);
        break;
    case OW_STORE_WATCH:
        http.path =
            g_strdup_printf("%s?%s=%s&%s=%" PRIu64 "&%s=%d", W_PATH_WATCH, W_PREFIX, request->key, W_AFTER,
                            request->since_revision, W_WATCH_MS, (int)(request->duration_s * 1000.0));
        break;
    case OW_STORE_GRANT_LEASE:
        http.method = "POST";
        http.path = g_strdup(W_PATH_LEASES);
        http.body =
            wire_json_print_and_unref(json_pack("{s:i}", W_TTL_MS, (int)(request->duration_s * 1000.0)));
        break;
    case OW_STORE_KEEP_ALIVE:
        http.method = "POST";
        http.path = g_strdup_printf("%s/%" PRIu64 "/%s", W_PATH_LEASES, request->lease, W_PATH_KEEP_ALIVE);
        http.body = g_strdup("{}");
        break;
    }
    return http;
}

void wire_http_request_clear(struct wire_http_request *http)
{
    g_free(http->path);
    g_free(http->body);
}

static void item_clear(void *item)
{
    struct ow_store_item *i = item;
    g_free(i->key);
    json_decref(i->value);
}

static bool add_item(GArray *items, const json_t *object, const char *key_field)
{
    const char *key = NULL;
    struct ow_store_item item = {0};
    if (!wire_json_get_string(object, key_field, &key) ||
        !wire_json_get_count(object, W_VERSION, &item.mod_revision))
        return false;
    item.key = g_strdup(key);
    item.value = json_incref(json_object_get(object, W_VALUE));
    g_array_append_val(items, item);
    return true;
}

static bool add_event(GArray *items, const json_t *object)
{
    if (json_object_get(object, W_PUT) != NULL)
        return add_item(items, object, W_PUT);
    const char *key = NULL;
    struct ow_store_item item = {0};
    if (!wire_json_get_string(object, W_DELETE, &key))
        return false;
    wire_json_get_count(object, W_VERSION, &item.mod_revision);
    item.key = g_strdup(key);
    g_array_append_val(items, item);
    return true;
}

static bool read_items(const json_t *object, const char *field, bool events, GArray *items)
{
    const json_t *list = json_object_get(object, field);
    if (!json_is_array(list))
        return false;
    size_t i;
    json_t *entry;
    json_array_foreach(
        list, i, entry) if (!(events ? add_event(items, entry) : add_item(items, entry, W_KEY))) return false;
    return true;
}

static bool read_success(enum ow_store_op op, const json_t *object, struct ow_store_reply *out)
{
    wire_json_get_count(object, W_REVISION, &out->revision);
    switch (op) {
    case OW_STORE_GET:
        return add_item(out->items, object, W_KEY);
    case OW_STORE_LIST:
        wire_json_get_bool(object, W_MORE, &out->has_more);
        return json_object_get(object, W_REVISION) != NULL && read_items(object, W_ITEMS, false, out->items);
    case OW_STORE_WATCH:
        return json_object_get(object, W_REVISION) != NULL && read_items(object, W_EVENTS, true, out->items);
    case OW_STORE_TXN:
        return json_object_get(object, W_REVISION) != NULL;
    case OW_STORE_GRANT_LEASE:
        return wire_json_get_count(object, W_LEASE, &out->lease);
    case OW_STORE_KEEP_ALIVE:
        return true;
    }
    return false;
}

void wire_store_reply_decode(enum ow_store_op op, int status, const char *body, size_t size,
                             struct ow_store_reply *out)
{
    out->status = status;
    out->items = g_array_new(FALSE, FALSE, sizeof(struct ow_store_item));
    g_array_set_clear_func(out->items, item_clear);
    json_t *object =
        status == OW_HTTP_STATUS_OK || status == OW_HTTP_STATUS_CONFLICT || status == OW_HTTP_STATUS_NOT_FOUND
            ? wire_json_parse_object(body, size)
            : NULL;
    if (status == OW_HTTP_STATUS_OK && op != OW_STORE_KEEP_ALIVE &&
        (object == NULL || !read_success(op, object, out)))
        out->status = OW_HTTP_STATUS_NONE;
    if (status == OW_HTTP_STATUS_CONFLICT && object != NULL)
        out->failed_keys = wire_json_copy_strings(json_object_get(object, W_FAILED_KEYS));
    if (status == OW_HTTP_STATUS_NOT_FOUND && object != NULL)
        wire_json_get_count(object, W_REVISION, &out->revision);
    json_decref(object);
}
