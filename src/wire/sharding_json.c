#include "wire/sharding_json.h"

#include "model/peer.h"
#include "sharding/shard_manager.h"
#include "wire/json.h"

/* Field names of the stored map, and of what operators are told. */
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

enum { MAP_FORMAT = 1 };

char *wire_shard_map(GHashTable *values)
{
    json_t *object = json_object();
    GHashTableIter iter;
    gpointer name, value;
    g_hash_table_iter_init(&iter, values);
    while (g_hash_table_iter_next(&iter, &name, &value))
        json_object_set_new(object, name, json_string(value));
    return wire_json_print_and_unref(json_pack("{s:i,s:o}", F_FORMAT, MAP_FORMAT, F_VALUES, object));
}

GHashTable *wire_shard_map_parse(const json_t *value)
{
    uint64_t format = 0;
    json_t *object = json_object_get(value, F_VALUES);
    if (!wire_json_get_count(value, F_FORMAT, &format) || format != MAP_FORMAT || !json_is_object(object))
        return NULL;
    GHashTable *values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    const char *name;
    json_t *text;
    json_object_foreach(object, name, text)
    {
        if (!json_is_string(text)) {
            g_hash_table_destroy(values);
            return NULL;
        }
        g_hash_table_replace(values, g_strdup(name), g_strdup(json_string_value(text)));
    }
    return values;
}

static json_t *led_shards(const struct ow_member *member)
{
    json_t *list = json_array();
    for (guint i = 0; i < member->led_shards->len; i++)
        json_array_append_new(list, json_string(g_array_index(member->led_shards, struct ow_peer_shard, i).name));
    return list;
}

char *wire_controllers(const struct ow_shard_manager *manager)
{
    const GPtrArray *members = ow_shard_manager_members(manager);
    double now = ow_shard_manager_now(manager);
    json_t *list = json_array();
    for (guint i = 0; i < members->len; i++) {
        const struct ow_member *member = g_ptr_array_index(members, i);
        json_array_append_new(list, json_pack("{s:s,s:s,s:f,s:s,s:f,s:i,s:o}", F_NAME, member->name, F_STATE,
                                              ow_member_state_name(member->state), F_SINCE,
                                              now - member->state_since, F_CAUSE, member->cause, F_PHI,
                                              ow_phi_detector_phi(&member->detector, now), F_SUSPICIONS,
                                              (int)member->suspicions, F_LEADS, led_shards(member)));
    }
    const char *difference = ow_shard_manager_difference(manager);
    return wire_json_print_and_unref(json_pack("{s:o,s:s,s:i}", F_CONTROLLERS, list, F_AGREEMENT,
                                               difference != NULL ? difference : "agreed", F_DROPPED,
                                               (int)ow_shard_manager_dropped(manager)));
}

static json_t *steps_json(const struct ow_handover *handover, double now)
{
    json_t *list = json_array();
    for (guint i = 0; i < handover->steps->len; i++) {
        const struct ow_handover_step *step = &g_array_index(handover->steps, struct ow_handover_step, i);
        json_array_append_new(list, json_pack("{s:s,s:f,s:s}", F_STATE, ow_handover_phase_name(step->phase),
                                              F_SINCE, now - step->at, F_CAUSE, step->cause));
    }
    return list;
}

static json_t *shard_json(const struct ow_shard_manager *manager, const struct ow_shard *shard)
{
    const struct ow_handover *handover = &shard->handover;
    double now = ow_shard_manager_now(manager);
    json_t *object = json_pack("{s:s,s:s,s:I,s:i,s:i,s:i,s:o}", F_NAME, shard->name, F_STATE,
                               ow_handover_phase_name(ow_handover_last(handover)->phase), F_FENCING_TOKEN,
                               (json_int_t)shard->status.fencing_token, F_MACHINES,
                               (int)shard->status.machines, F_FENCED, (int)shard->status.fenced, F_WITHHELD,
                               (int)shard->withheld, F_STEPS, steps_json(handover, now));
    if (handover->leader != NULL)
        json_object_set_new(object, F_LEADER, json_string(handover->leader));
    json_object_set_new(object, F_SUCCESSOR, json_string(ow_shard_manager_successor(manager, shard)));
    return object;
}

char *wire_shards(const struct ow_shard_manager *manager)
{
    const GPtrArray *shards = ow_shard_manager_shards(manager);
    json_t *list = json_array();
    for (guint i = 0; i < shards->len; i++)
        json_array_append_new(list, shard_json(manager, g_ptr_array_index(shards, i)));
    return wire_json_print_and_unref(json_pack("{s:o}", F_SHARDS, list));
}
