#include "wire/cloud_json.h"

#include "model/cloud.h"
#include "wire/json.h"
#include "wire/words.h"

enum { LIST_PAGE = 500 };

static bool parse_type(const json_t *object, struct ow_machine_type *type)
{
    const char *name = NULL;
    if (!wire_json_get_string(object, W_NAME, &name) ||
        !wire_json_get_number(object, W_CPUS, &type->size.cpus) ||
        !wire_json_get_number(object, W_MEMORY_GB, &type->size.memory_gb))
        return false;
    wire_json_get_number(object, W_GPUS, &type->size.gpus);
    wire_json_get_number(object, W_CACHE_GB, &type->cache_gb);
    wire_json_get_number(object, W_FETCH_GB_PER_S, &type->fetch_gb_per_s);
    wire_json_get_number(object, W_HOURLY_PRICE, &type->price);
    type->spot_price = type->price;
    wire_json_get_number(object, W_SPOT_HOURLY_PRICE, &type->spot_price);
    wire_json_get_number(object, W_BOOT_S, &type->boot_s);
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
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        struct ow_machine_type type = {0};
        if (parse_type(item, &type) && types->len < OW_MAX_TYPES)
            g_array_append_val(types, type);
    }
    return types;
}

GArray *wire_machine_types_decode(const char *text, size_t size)
{
    json_t *object = wire_json_parse_object(text, size);
    GArray *types = object != NULL ? wire_machine_types_from_json(object) : NULL;
    json_decref(object);
    return types;
}

json_t *wire_machine_types_to_json(const GArray *types)
{
    json_t *list = json_array();
    for (guint i = 0; i < types->len; i++) {
        const struct ow_machine_type *type = &g_array_index(types, struct ow_machine_type, i);
        json_t *zones = json_array();
        for (char **zone = type->zones; zone != NULL && *zone != NULL; zone++)
            json_array_append_new(zones, json_string(*zone));
        json_array_append_new(list, json_pack("{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", W_NAME, type->name,
                                              W_CPUS, type->size.cpus, W_GPUS, type->size.gpus, W_MEMORY_GB,
                                              type->size.memory_gb, W_CACHE_GB, type->cache_gb,
                                              W_FETCH_GB_PER_S, type->fetch_gb_per_s, W_HOURLY_PRICE,
                                              type->price, W_SPOT_HOURLY_PRICE, type->spot_price, W_BOOT_S,
                                              type->boot_s, W_ZONES, zones));
    }
    return json_pack("{s:o}", W_TYPES, list);
}

char *wire_provision_request_encode(const struct wire_provision_request *provision_request)
{
    json_t *object = json_pack("{s:s,s:s,s:s,s:b,s:i}", W_REQUEST_ID, provision_request->request, W_TYPE,
                               provision_request->type, W_ZONE, provision_request->zone, W_SPOT,
                               (int)provision_request->spot, W_COUNT, (int)provision_request->count);
    return wire_json_print_and_unref(object);
}

char **wire_provision_reply_decode(const char *text, size_t size)
{
    json_t *object = wire_json_parse_object(text, size);
    char **names = object != NULL ? wire_json_copy_strings(json_object_get(object, W_MACHINES)) : NULL;
    json_decref(object);
    return names;
}

char *wire_terminate_request_encode(const GPtrArray *names)
{
    json_t *list = json_array();
    for (guint i = 0; i < names->len; i++)
        json_array_append_new(list, json_string(g_ptr_array_index(names, i)));
    json_t *object = json_pack("{s:o}", W_MACHINES, list);
    return wire_json_print_and_unref(object);
}

static bool parse_listed(const json_t *object, struct ow_listed_machine *machine)
{
    const char *name = NULL, *addr = "", *type = NULL, *zone = NULL, *state = NULL;
    if (!wire_json_get_string(object, W_ID, &name) || !wire_json_get_string(object, W_TYPE, &type) ||
        !wire_json_get_string(object, W_ZONE, &zone) || !wire_json_get_string(object, W_STATE, &state))
        return false;
    int s = wire_word_index(wire_listed_states, state);
    if (s < 0)
        return false;
    wire_json_get_string(object, W_ADDRESS, &addr);
    wire_json_get_bool(object, W_SPOT, &machine->spot);
    wire_json_get_number(object, W_AGE_S, &machine->age_s);
    machine->state = (enum ow_listed_state)s;
    machine->name = g_strdup(name);
    machine->addr = g_strdup(addr);
    machine->type = g_strdup(type);
    machine->zone = g_strdup(zone);
    return true;
}

GArray *wire_machine_list_decode(const char *text, size_t size, bool *more)
{
    json_t *object = wire_json_parse_object(text, size);
    const json_t *list = json_object_get(object, W_MACHINES);
    if (!json_is_array(list)) {
        json_decref(object);
        return NULL;
    }
    GArray *machines = g_array_new(FALSE, TRUE, sizeof(struct ow_listed_machine));
    g_array_set_clear_func(machines, ow_listed_machine_clear);
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        struct ow_listed_machine machine = {0};
        if (parse_listed(item, &machine))
            g_array_append_val(machines, machine);
    }
    *more = false;
    wire_json_get_bool(object, W_MORE, more);
    json_decref(object);
    return machines;
}

char *wire_machine_list_path(const char *after)
{
    if (after == NULL || *after == '\0')
        return g_strdup_printf("%s?%s=%d", W_PATH_MACHINES, W_LIMIT, LIST_PAGE);
    return g_strdup_printf("%s?%s=%s&%s=%d", W_PATH_MACHINES, W_AFTER, after, W_LIMIT, LIST_PAGE);
}
