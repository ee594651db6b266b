#include "core/type_discovery.h"

#include "core/core_state.h"
#include "model/cloud.h"
#include "model/event.h"
#include "model/records.h"
#include "wire/cloud_json.h"

static const double RETRY_S = 1.5;

static void on_cloud_types(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_type_discovery *discovery = owner;
    (void)data;
    discovery->busy = false;
    if (answer->cloud.status == 200 && answer->cloud.types != NULL)
        ow_core_set_machine_types(discovery->core, answer->cloud.types);
}

static void on_stored_types(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_type_discovery *discovery = owner;
    (void)data;
    if (answer->store.status != 200 || discovery->core->types_known)
        return;
    const struct ow_store_item *item = &g_array_index(answer->store.items, struct ow_store_item, 0);
    GArray *types = wire_machine_types_from_json(item->value);
    if (types == NULL)
        return;
    ow_core_set_machine_types(discovery->core, types);
    g_array_free(types, TRUE);
}

void ow_type_discovery_tick(struct ow_type_discovery *discovery)
{
    struct ow_core *core = discovery->core;
    if (core->types_known || core->leader != NULL || discovery->busy)
        return;
    if (core->now < discovery->asked_at + RETRY_S)
        return;
    struct ow_cloud_request *cloud_request = g_new0(struct ow_cloud_request, 1);
    cloud_request->op = OW_CLOUD_TYPES;
    discovery->asked_at = core->now;
    discovery->busy = true;
    ow_core_call_cloud(core, cloud_request, on_cloud_types, discovery, NULL, NULL);
    struct ow_store_request *store_request = ow_store_request_new(OW_STORE_GET, OW_KEY_TYPES);
    ow_core_call_store(core, store_request, on_stored_types, discovery, NULL, NULL);
}
