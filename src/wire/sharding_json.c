#include "wire/sharding_json.h"

#include "model/peer.h"
#include "wire/json.h"

/* Field names of the stored map and of the answers to operators. */
#define F_FORMAT "v"
#define F_VALUES "values"
#define F_CONTROLLERS "controllers"
#define F_SHARDS "shards"
#define F_NAME "name"
#define F_STATE "state"
#define F_SINCE "since_s"
#define F_CAUSE "cause"
#define F_PHI "phi"
#define F_SUSPICIONS "suspicions"
#define F_LEADS "leads"
#define F_LEADER "leader"
#define F_FENCING_TOKEN "token"
#define F_MACHINES "machines"
#define F_FENCED "fenced"
#define F_WITHHELD "withheld"
#define F_STEPS "steps"
#define F_SUCCESSOR "successor"
#define F_AGREEMENT "agreement"
#define F_DROPPED "dropped"

/* The only format of the stored map so far. A controller that finds another one leads no shard. */
enum { MAP_FORMAT = 1 };

/* Answered to operators as long as there is no difference from the stored map. */
#define AGREED "agreed"

/* ---- the stored map ---- */

char *wire_shard_map_encode(GHashTable *values)
{
    json_t *object = json_object();
    GHashTableIter iter;
    gpointer name = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, values);
    while (g_hash_table_iter_next(&iter, &name, &value))
        json_object_set_new(object, name, json_string(value));
    return wire_json_print_and_unref(json_pack("{s:i,s:o}", F_FORMAT, MAP_FORMAT, F_VALUES, object));
}

GHashTable *wire_shard_map_from_json(const json_t *value)
{
    uint64_t format = 0;
    json_t *object = json_object_get(value, F_VALUES);
    if (!wire_json_get_count(value, F_FORMAT, &format) || format != MAP_FORMAT || !json_is_object(object))
        return NULL;
    g_autoptr(GHashTable) values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    const char *name = NULL;
    json_t *text = NULL;
    json_object_foreach(object, name, text)
    {
        if (!json_is_string(text))
            return NULL;
        g_hash_table_replace(values, g_strdup(name), g_strdup(json_string_value(text)));
    }
    return g_steal_pointer(&values);
}

/* ---- controllers ---- */

static json_t *led_shards_to_json(const GArray *led_shards)
{
    json_t *list = json_array();
    for (guint i = 0; i < led_shards->len; i++)
        json_array_append_new(list, json_string(g_array_index(led_shards, struct ow_peer_shard, i).name));
    return list;
}

static json_t *controller_to_json(const struct ow_controller_view *view)
{
    return json_pack("{s:s,s:s,s:f,s:s,s:f,s:i,s:o}", F_NAME, view->name, F_STATE, view->state, F_SINCE,
                     view->state_age_s, F_CAUSE, view->cause, F_PHI, view->phi, F_SUSPICIONS,
                     (int)view->suspicions, F_LEADS, led_shards_to_json(view->led_shards));
}

char *wire_controllers_encode(const struct ow_controllers_view *view)
{
    json_t *list = json_array();
    for (guint i = 0; i < view->controllers->len; i++)
        json_array_append_new(
            list, controller_to_json(&g_array_index(view->controllers, struct ow_controller_view, i)));
    return wire_json_print_and_unref(json_pack("{s:o,s:s,s:i}", F_CONTROLLERS, list, F_AGREEMENT,
                                               view->difference != NULL ? view->difference : AGREED,
                                               F_DROPPED, (int)view->dropped_messages));
}

/* ---- shards ---- */

static json_t *steps_to_json(const GArray *steps)
{
    json_t *list = json_array();
    for (guint i = 0; i < steps->len; i++) {
        const struct ow_failover_step_view *step = &g_array_index(steps, struct ow_failover_step_view, i);
        json_array_append_new(list, json_pack("{s:s,s:f,s:s}", F_STATE, step->phase, F_SINCE, step->age_s,
                                              F_CAUSE, step->cause));
    }
    return list;
}

static json_t *shard_to_json(const struct ow_shard_view *view)
{
    json_t *object =
        json_pack("{s:s,s:s,s:I,s:i,s:i,s:i,s:o}", F_NAME, view->name, F_STATE, view->phase, F_FENCING_TOKEN,
                  (json_int_t)view->fencing_token, F_MACHINES, (int)view->machines, F_FENCED,
                  (int)view->fenced, F_WITHHELD, (int)view->withheld, F_STEPS, steps_to_json(view->steps));
    if (view->leader != NULL)
        json_object_set_new(object, F_LEADER, json_string(view->leader));
    json_object_set_new(object, F_SUCCESSOR, json_string(view->successor));
    return object;
}

char *wire_shards_encode(const GArray *views)
{
    json_t *list = json_array();
    for (guint i = 0; i < views->len; i++)
        json_array_append_new(list, shard_to_json(&g_array_index(views, struct ow_shard_view, i)));
    return wire_json_print_and_unref(json_pack("{s:o}", F_SHARDS, list));
}
