#include "wire/store_json.h"

#include "model/http_status.h"
#include "wire/json.h"
#include "wire/json_reader.h"
#include "wire/words.h"

#include <inttypes.h>
#include <string.h>

/* Maximum number of keys in one page of a list. */
enum { LIST_PAGE_KEYS = 500 };

static const double MS_PER_S = 1000.0;

/* ---- known fields ---- */

/* An item of a list, or an event of a watch. What a value has depends on its key. */
static const struct wire_json_field item_field_list[] = {
    WIRE_JSON_SCALAR(W_KEY),
    WIRE_JSON_SCALAR(W_PUT),
    WIRE_JSON_SCALAR(W_DELETE),
    WIRE_JSON_SCALAR(W_MOD_REVISION),
    WIRE_JSON_OBJECTS(W_VALUE, &wire_json_any_fields),
};
static const struct wire_json_fields item_fields = WIRE_JSON_FIELDS(item_field_list);

static const struct wire_json_field list_field_list[] = {
    WIRE_JSON_OBJECTS(W_ITEMS, &item_fields),
    WIRE_JSON_OBJECTS(W_EVENTS, &item_fields),
    WIRE_JSON_SCALAR(W_MORE),
    WIRE_JSON_SCALAR(W_REVISION),
};
static const struct wire_json_fields list_fields = WIRE_JSON_FIELDS(list_field_list);

static const struct wire_json_field result_field_list[] = {
    WIRE_JSON_SCALAR(W_REVISION),
    WIRE_JSON_SCALAR(W_LEASE),
    WIRE_JSON_SCALAR(W_FAILED_KEYS),
};
static const struct wire_json_fields result_fields = WIRE_JSON_FIELDS(result_field_list);

/* ---- requests ---- */

static json_t *comparison_to_json(const struct ow_store_comparison *comparison)
{
    return json_pack("{s:s,s:I}", W_KEY, comparison->key, W_MOD_REVISION,
                     (json_int_t)comparison->mod_revision);
}

/* Appends the members of an object without the braces around them, and takes the reference to it. */
static void append_members(GString *text, json_t *object)
{
    g_autofree char *printed = wire_json_print_and_unref(object);
    g_string_append_len(text, printed + 1, (gssize)strlen(printed) - 2);
}

/* The value is JSON already, and is sent byte for byte: what is stored does not depend on a library's
 * spelling. */
static void append_mutation(GString *text, const struct ow_store_mutation *mutation)
{
    bool is_put = mutation->value != NULL;
    g_string_append_c(text, '{');
    append_members(text, json_pack("{s:s}", is_put ? W_PUT : W_DELETE, mutation->key));
    if (is_put)
        g_string_append_printf(text, ",\"%s\":%s", W_VALUE, mutation->value);
    if (mutation->lease != 0)
        g_string_append_printf(text, ",\"%s\":%" PRIu64, W_LEASE, mutation->lease);
    g_string_append_c(text, '}');
}

static char *txn_body(const struct ow_store_request *request)
{
    const GArray *comparisons = request->comparisons;
    const GArray *mutations = request->mutations;
    json_t *comparison_list = json_array();
    for (guint i = 0; i < comparisons->len; i++)
        json_array_append_new(comparison_list,
                              comparison_to_json(&g_array_index(comparisons, struct ow_store_comparison, i)));
    GString *text = g_string_new("{");
    append_members(text, json_pack("{s:o}", W_COMPARISONS, comparison_list));
    g_string_append_printf(text, ",\"%s\":[", W_MUTATIONS);
    for (guint i = 0; i < mutations->len; i++) {
        if (i > 0)
            g_string_append_c(text, ',');
        append_mutation(text, &g_array_index(mutations, struct ow_store_mutation, i));
    }
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

static char *list_path(const struct ow_store_request *request)
{
    if (request->start_after_key == NULL)
        return g_strdup_printf("%s?%s=%s&%s=%d", W_PATH_KEYS, W_PREFIX, request->key, W_LIMIT,
                               LIST_PAGE_KEYS);
    return g_strdup_printf("%s?%s=%s&%s=%s&%s=%d", W_PATH_KEYS, W_PREFIX, request->key, W_AFTER,
                           request->start_after_key, W_LIMIT, LIST_PAGE_KEYS);
}

static char *watch_path(const struct ow_store_request *request)
{
    return g_strdup_printf("%s?%s=%s&%s=%" PRIu64 "&%s=%d", W_PATH_WATCH, W_PREFIX, request->key, W_AFTER,
                           request->since_revision, W_WATCH_DURATION_MS,
                           (int)(request->duration_s * MS_PER_S));
}

static char *grant_lease_body(const struct ow_store_request *request)
{
    return wire_json_print_and_unref(json_pack("{s:i}", W_TTL_MS, (int)(request->duration_s * MS_PER_S)));
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
        http.path = watch_path(request);
        break;
    case OW_STORE_GRANT_LEASE:
        http.method = "POST";
        http.path = g_strdup(W_PATH_LEASES);
        http.body = grant_lease_body(request);
        break;
    case OW_STORE_KEEP_ALIVE:
        http.method = "POST";
        http.path = g_strdup_printf("%s/%" PRIu64 "/%s", W_PATH_LEASES, request->lease, W_PATH_KEEP_ALIVE);
        http.body = g_strdup("{}");
        break;
    }
    return http;
}

/* ---- replies ---- */

static void clear_item(void *item)
{
    struct ow_store_item *cleared = item;
    g_free(cleared->key);
    json_decref(cleared->value);
}

/* Appends a key with its value. Returns false if the entry is invalid. */
static bool add_item(GArray *items, const json_t *object, const char *key_field)
{
    const char *key = NULL;
    struct ow_store_item item = {0};
    if (!wire_json_get_string(object, key_field, &key) ||
        !wire_json_get_count(object, W_MOD_REVISION, &item.mod_revision))
        return false;
    item.key = g_strdup(key);
    item.value = json_incref(json_object_get(object, W_VALUE));
    g_array_append_val(items, item);
    return true;
}

static bool add_listed_item(GArray *items, const json_t *object)
{
    return add_item(items, object, W_KEY);
}

static bool add_watch_event(GArray *items, const json_t *object)
{
    if (json_object_get(object, W_PUT) != NULL)
        return add_item(items, object, W_PUT);
    const char *deleted_key = NULL;
    struct ow_store_item item = {0};
    if (!wire_json_get_string(object, W_DELETE, &deleted_key))
        return false;
    wire_json_get_count(object, W_MOD_REVISION, &item.mod_revision);
    item.key = g_strdup(deleted_key);
    g_array_append_val(items, item);
    return true;
}

/* Reads a list. Returns false if any entry is invalid, or if the object lacks the revision that the list
 * shows. */
static bool read_list(const json_t *object, const char *field,
                      bool (*add_entry)(GArray *items, const json_t *entry), GArray *items)
{
    const json_t *list = json_object_get(object, field);
    if (json_object_get(object, W_REVISION) == NULL || !json_is_array(list))
        return false;
    for (size_t i = 0; i < json_array_size(list); i++)
        if (!add_entry(items, json_array_get(list, i)))
            return false;
    return true;
}

/* Reads the body of a reply with status 200. Returns false if it is invalid. */
static bool read_success(enum ow_store_op op, const json_t *object, struct ow_store_reply *reply)
{
    if (!wire_json_get_optional_count(object, W_REVISION, &reply->revision))
        return false;
    switch (op) {
    case OW_STORE_GET:
        return add_item(reply->items, object, W_KEY);
    case OW_STORE_LIST:
        return wire_json_get_optional_bool(object, W_MORE, &reply->has_more) &&
               read_list(object, W_ITEMS, add_listed_item, reply->items);
    case OW_STORE_WATCH:
        return read_list(object, W_EVENTS, add_watch_event, reply->items);
    case OW_STORE_TXN:
        return json_object_get(object, W_REVISION) != NULL;
    case OW_STORE_GRANT_LEASE:
        return wire_json_get_count(object, W_LEASE, &reply->lease);
    case OW_STORE_KEEP_ALIVE:
        return true;
    }
    return false;
}

static const struct wire_json_fields *fields_of_reply(enum ow_store_op op, int status)
{
    if (status == OW_HTTP_STATUS_OK && op == OW_STORE_GET)
        return &item_fields;
    return op == OW_STORE_LIST || op == OW_STORE_WATCH ? &list_fields : &result_fields;
}

static bool has_body(int status)
{
    return status == OW_HTTP_STATUS_OK || status == OW_HTTP_STATUS_CONFLICT ||
           status == OW_HTTP_STATUS_NOT_FOUND;
}

/* Reads the body of a successful request. Returns false and sets the error if it is invalid. */
static bool read_required_body(enum ow_store_op op, const json_t *object, struct ow_store_reply *reply,
                               GError **error)
{
    return object != NULL && (read_success(op, object, reply) || wire_json_fail_field("a field", error));
}

void wire_store_reply_decode(enum ow_store_op op, int status, const char *body, size_t size,
                             struct ow_store_reply *reply, GError **error)
{
    /* The status alone confirms the renewal of a lease. */
    bool needs_body = status == OW_HTTP_STATUS_OK && op != OW_STORE_KEEP_ALIVE;
    json_auto_t *object = has_body(status) ? wire_json_read_object(body, size, fields_of_reply(op, status),
                                                                   needs_body ? error : NULL)
                                           : NULL;
    reply->status = status;
    reply->items = g_array_new(FALSE, FALSE, sizeof(struct ow_store_item));
    g_array_set_clear_func(reply->items, clear_item);
    reply->is_unreadable = needs_body && !read_required_body(op, object, reply, error);
    if (reply->is_unreadable)
        reply->status = OW_HTTP_STATUS_NONE;
    if (status == OW_HTTP_STATUS_CONFLICT && object != NULL)
        reply->failed_keys = wire_json_copy_strings(json_object_get(object, W_FAILED_KEYS));
    if (status == OW_HTTP_STATUS_NOT_FOUND && object != NULL)
        wire_json_get_count(object, W_REVISION, &reply->revision);
}
