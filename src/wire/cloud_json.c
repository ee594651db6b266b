#include "wire/cloud_json.h"

#include "wire/json.h"
#include "wire/words.h"

enum { LIST_PAGE = 500 };

static bool parse_type(const json_t *o, struct ow_machine_type *t)
{
    const char *name = NULL;
    if (!wj_string(o, W_NAME, &name) || !wj_number(o, W_CPUS, &t->size.cpus) ||
        !wj_number(o, W_MEMORY, &t->size.memory_gb))
        return false;
    wj_number(o, W_GPUS, &t->size.gpus);
    wj_number(o, W_CACHE, &t->cache_gb);
    wj_number(o, W_FETCH, &t->fetch_gb_per_s);
    wj_number(o, W_PRICE, &t->price);
    t->spot_price = t->price;
    wj_number(o, W_SPOT_PRICE, &t->spot_price);
    wj_number(o, W_BOOT, &t->boot_s);
    t->zones = wj_strings(json_object_get(o, W_ZONES));
    t->name = g_strdup(name);
    return true;
}

GArray *wire_types_from(const json_t *o)
{
    const json_t *list = json_object_get(o, W_TYPES);
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

GArray *wire_types_parse(const char *text, size_t size)
{
    json_t *o = wj_object(text, size);
    GArray *types = o != NULL ? wire_types_from(o) : NULL;
    json_decref(o);
    return types;
}

json_t *wire_types_json(const GArray *types)
{
    json_t *list = json_array();
    for (guint i = 0; i < types->len; i++) {
        const struct ow_machine_type *t = &g_array_index(types, struct ow_machine_type, i);
        json_t *zones = json_array();
        for (char **zone = t->zones; zone != NULL && *zone != NULL; zone++)
            json_array_append_new(zones, json_string(*zone));
        json_array_append_new(list,
                              json_pack("{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", W_NAME, t->name, W_CPUS,
                                        t->size.cpus, W_GPUS, t->size.gpus, W_MEMORY, t->size.memory_gb,
                                        W_CACHE, t->cache_gb, W_FETCH, t->fetch_gb_per_s, W_PRICE, t->price,
                                        W_SPOT_PRICE, t->spot_price, W_BOOT, t->boot_s, W_ZONES, zones));
    }
    return json_pack("{s:o}", W_TYPES, list);
}

char *wire_rental(const struct ow_rental *r)
{
    json_t *o = json_pack("{s:s,s:s,s:s,s:b,s:i}", W_REQUEST, r->request, W_TYPE, r->type, W_ZONE, r->zone,
                          W_SPOT, (int)r->spot, W_COUNT, (int)r->count);
    return wj_take_text(o);
}

char **wire_rented_parse(const char *text, size_t size)
{
    json_t *o = wj_object(text, size);
    char **names = o != NULL ? wj_strings(json_object_get(o, W_MACHINES)) : NULL;
    json_decref(o);
    return names;
}

char *wire_delete(const GPtrArray *names)
{
    json_t *list = json_array();
    for (guint i = 0; i < names->len; i++)
        json_array_append_new(list, json_string(g_ptr_array_index(names, i)));
    json_t *o = json_pack("{s:o}", W_MACHINES, list);
    return wj_take_text(o);
}

static bool parse_listed(const json_t *o, struct ow_listed_machine *m)
{
    const char *name = NULL, *addr = "", *type = NULL, *zone = NULL, *state = NULL;
    if (!wj_string(o, W_ID, &name) || !wj_string(o, W_TYPE, &type) || !wj_string(o, W_ZONE, &zone) ||
        !wj_string(o, W_STATE, &state))
        return false;
    int s = w_index(w_listed, state);
    if (s < 0)
        return false;
    wj_string(o, W_ADDR, &addr);
    wj_bool(o, W_SPOT, &m->spot);
    wj_number(o, W_AGE, &m->age_s);
    m->state = (enum ow_listed)s;
    m->name = g_strdup(name);
    m->addr = g_strdup(addr);
    m->type = g_strdup(type);
    m->zone = g_strdup(zone);
    return true;
}

GArray *wire_list_parse(const char *text, size_t size, bool *more)
{
    json_t *o = wj_object(text, size);
    const json_t *list = json_object_get(o, W_MACHINES);
    if (!json_is_array(list)) {
        json_decref(o);
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
    wj_bool(o, W_MORE, more);
    json_decref(o);
    return machines;
}

char *wire_list_path(const char *after)
{
    if (after == NULL || *after == '\0')
        return g_strdup_printf("%s?%s=%d", W_PATH_MACHINES, W_LIMIT, LIST_PAGE);
    return g_strdup_printf("%s?%s=%s&%s=%d", W_PATH_MACHINES, W_AFTER, after, W_LIMIT, LIST_PAGE);
}
