#include "wire/cloud_json.h"

#include "model/http_status.h"
#include "wire/json.h"
#include "wire/json_reader.h"
#include "wire/words.h"

/* Maximum number of machines in one page of a list. */
enum { LIST_PAGE_MACHINES = 500 };

/* ---- known fields ---- */

static const struct wire_json_field type_field_list[] = {
    WIRE_JSON_SCALAR(W_NAME),         WIRE_JSON_SCALAR(W_CPUS),
    WIRE_JSON_SCALAR(W_GPUS),         WIRE_JSON_SCALAR(W_MEMORY_GB),
    WIRE_JSON_SCALAR(W_CACHE_GB),     WIRE_JSON_SCALAR(W_FETCH_GB_PER_S),
    WIRE_JSON_SCALAR(W_HOURLY_PRICE), WIRE_JSON_SCALAR(W_SPOT_HOURLY_PRICE),
    WIRE_JSON_SCALAR(W_BOOT_S),       WIRE_JSON_SCALAR(W_ZONES),
};
static const struct wire_json_fields type_fields = WIRE_JSON_FIELDS(type_field_list);

static const struct wire_json_field types_field_list[] = {WIRE_JSON_OBJECTS(W_TYPES, &type_fields)};
static const struct wire_json_fields types_fields = WIRE_JSON_FIELDS(types_field_list);

static const struct wire_json_field provisioned_field_list[] = {WIRE_JSON_SCALAR(W_MACHINES)};
static const struct wire_json_fields provisioned_fields = WIRE_JSON_FIELDS(provisioned_field_list);

static const struct wire_json_field machine_field_list[] = {
    WIRE_JSON_SCALAR(W_ID),    WIRE_JSON_SCALAR(W_ADDRESS), WIRE_JSON_SCALAR(W_TYPE),
    WIRE_JSON_SCALAR(W_ZONE),  WIRE_JSON_SCALAR(W_SPOT),    WIRE_JSON_SCALAR(W_STATE),
    WIRE_JSON_SCALAR(W_AGE_S),
};
static const struct wire_json_fields machine_fields = WIRE_JSON_FIELDS(machine_field_list);

static const struct wire_json_field list_field_list[] = {
    WIRE_JSON_OBJECTS(W_MACHINES, &machine_fields),
    WIRE_JSON_SCALAR(W_MORE),
};
static const struct wire_json_fields list_fields = WIRE_JSON_FIELDS(list_field_list);

/* ---- machine types ---- */

/* Reads the numbers that a type may lack. */
static bool read_optional_numbers(const json_t *object, struct ow_machine_type *type)
{
    if (!wire_json_get_optional_number(object, W_GPUS, &type->size.gpus) ||
        !wire_json_get_optional_number(object, W_CACHE_GB, &type->cache_gb) ||
        !wire_json_get_optional_number(object, W_FETCH_GB_PER_S, &type->fetch_gb_per_s) ||
        !wire_json_get_optional_number(object, W_HOURLY_PRICE, &type->price))
        return false;
    type->spot_price = type->price;
    return wire_json_get_optional_number(object, W_SPOT_HOURLY_PRICE, &type->spot_price) &&
           wire_json_get_optional_number(object, W_BOOT_S, &type->boot_s);
}

static bool machine_type_from_json(const json_t *object, struct ow_machine_type *type)
{
    const char *name = NULL;
    if (!wire_json_get_string(object, W_NAME, &name) ||
        !wire_json_get_number(object, W_CPUS, &type->size.cpus) ||
        !wire_json_get_number(object, W_MEMORY_GB, &type->size.memory_gb) ||
        !read_optional_numbers(object, type))
        return false;
    type->zones = wire_json_copy_strings(json_object_get(object, W_ZONES));
    type->name = g_strdup(name);
    return true;
}

GArray *wire_machine_types_from_json(const json_t *object)
{
    const json_t *list = json_object_get(object, W_TYPES);
    if (!json_is_array(list))
        return NULL;
    GArray *types = g_array_new(FALSE, TRUE, sizeof(struct ow_machine_type));
    g_array_set_clear_func(types, ow_machine_type_clear);
    for (size_t i = 0; i < json_array_size(list); i++) {
        struct ow_machine_type type = {0};
        if (machine_type_from_json(json_array_get(list, i), &type))
            g_array_append_val(types, type);
    }
    return types;
}

static json_t *machine_type_to_json(const struct ow_machine_type *type)
{
    return json_pack("{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", W_NAME, type->name, W_CPUS, type->size.cpus,
                     W_GPUS, type->size.gpus, W_MEMORY_GB, type->size.memory_gb, W_CACHE_GB, type->cache_gb,
                     W_FETCH_GB_PER_S, type->fetch_gb_per_s, W_HOURLY_PRICE, type->price, W_SPOT_HOURLY_PRICE,
                     type->spot_price, W_BOOT_S, type->boot_s, W_ZONES, wire_json_from_strings(type->zones));
}

char *wire_machine_types_encode(const GArray *types)
{
    json_t *list = json_array();
    for (guint i = 0; i < types->len; i++)
        json_array_append_new(list, machine_type_to_json(&g_array_index(types, struct ow_machine_type, i)));
    return wire_json_print_and_unref(json_pack("{s:o}", W_TYPES, list));
}

/* ---- requests ---- */

static char *list_path(const char *after)
{
    if (after == NULL || *after == '\0')
        return g_strdup_printf("%s?%s=%d", W_PATH_MACHINES, W_LIMIT, LIST_PAGE_MACHINES);
    return g_strdup_printf("%s?%s=%s&%s=%d", W_PATH_MACHINES, W_AFTER, after, W_LIMIT, LIST_PAGE_MACHINES);
}

static char *provision_body(const struct ow_cloud_request *request)
{
    return wire_json_print_and_unref(json_pack("{s:s,s:s,s:s,s:b,s:i}", W_REQUEST_ID, request->name, W_TYPE,
                                               request->type, W_ZONE, request->zone, W_SPOT,
                                               (int)request->spot, W_COUNT, (int)request->count));
}

static char *terminate_body(const GPtrArray *names)
{
    json_t *list = json_array();
    for (guint i = 0; i < names->len; i++)
        json_array_append_new(list, json_string(g_ptr_array_index(names, i)));
    return wire_json_print_and_unref(json_pack("{s:o}", W_MACHINES, list));
}

struct wire_http_request wire_cloud_request_encode(const struct ow_cloud_request *request)
{
    struct wire_http_request http = {.method = "GET"};
    switch (request->op) {
    case OW_CLOUD_TYPES:
        http.path = g_strdup(W_PATH_TYPES);
        break;
    case OW_CLOUD_LIST:
        http.path = list_path(request->after);
        break;
    case OW_CLOUD_PROVISION:
        http.method = "POST";
        http.path = g_strdup(W_PATH_MACHINES);
        http.body = provision_body(request);
        break;
    case OW_CLOUD_TERMINATE:
        http.method = "POST";
        http.path = g_strdup(W_PATH_TERMINATE);
        http.body = terminate_body(request->machines);
        break;
    }
    return http;
}

/* ---- replies ---- */

static bool listed_machine_from_json(const json_t *object, struct ow_listed_machine *machine)
{
    const char *name = NULL;
    const char *addr = "";
    const char *type = NULL;
    const char *zone = NULL;
    const char *state_word = NULL;
    if (!wire_json_get_string(object, W_ID, &name) || !wire_json_get_string(object, W_TYPE, &type) ||
        !wire_json_get_string(object, W_ZONE, &zone) || !wire_json_get_string(object, W_STATE, &state_word))
        return false;
    int state = wire_word_index(wire_listed_states, state_word);
    if (state < 0)
        return false;
    if (!wire_json_get_optional_string(object, W_ADDRESS, &addr) ||
        !wire_json_get_optional_bool(object, W_SPOT, &machine->spot) ||
        !wire_json_get_optional_number(object, W_AGE_S, &machine->age_s))
        return false;
    machine->state = (enum ow_listed_state)state;
    machine->name = g_strdup(name);
    machine->addr = g_strdup(addr);
    machine->type = g_strdup(type);
    machine->zone = g_strdup(zone);
    return true;
}

/* Reads one page of the list of machines; returns NULL if it is malformed. */
static GArray *listed_machines_from_json(const json_t *object)
{
    const json_t *list = json_object_get(object, W_MACHINES);
    if (!json_is_array(list))
        return NULL;
    GArray *machines = g_array_new(FALSE, TRUE, sizeof(struct ow_listed_machine));
    g_array_set_clear_func(machines, ow_listed_machine_clear);
    for (size_t i = 0; i < json_array_size(list); i++) {
        struct ow_listed_machine machine = {0};
        if (listed_machine_from_json(json_array_get(list, i), &machine))
            g_array_append_val(machines, machine);
    }
    return machines;
}

static const struct wire_json_fields *fields_of_reply(enum ow_cloud_op op)
{
    if (op == OW_CLOUD_TYPES)
        return &types_fields;
    return op == OW_CLOUD_LIST ? &list_fields : &provisioned_fields;
}

/* Reads the body of a successful request. Returns false if it is invalid. */
static bool read_success(enum ow_cloud_op op, const json_t *object, struct ow_cloud_reply *reply)
{
    switch (op) {
    case OW_CLOUD_TYPES:
        reply->types = wire_machine_types_from_json(object);
        return reply->types != NULL;
    case OW_CLOUD_PROVISION:
        reply->provisioned = wire_json_copy_strings(json_object_get(object, W_MACHINES));
        return reply->provisioned != NULL;
    case OW_CLOUD_LIST:
        if (!wire_json_get_optional_bool(object, W_MORE, &reply->has_more))
            return false;
        reply->listed = listed_machines_from_json(object);
        return reply->listed != NULL;
    case OW_CLOUD_TERMINATE:
        return true;
    }
    return false;
}

void wire_cloud_reply_decode(enum ow_cloud_op op, int status, const char *body, size_t size,
                             struct ow_cloud_reply *reply, GError **error)
{
    reply->status = status;
    if (status != OW_HTTP_STATUS_OK || op == OW_CLOUD_TERMINATE)
        return;
    json_auto_t *object = wire_json_read_object(body, size, fields_of_reply(op), error);
    if (object != NULL && !read_success(op, object, reply))
        wire_json_fail_field(op == OW_CLOUD_TYPES ? W_TYPES : W_MACHINES, error);
}
