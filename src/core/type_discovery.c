#include "core/type_discovery.h"

#include "core/core_state.h"
#include "core/machine_types.h"
#include "model/cloud.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "wire/cloud_json.h"

/* Time between two attempts while no types are known, and between two requests to the cloud afterwards. */
static const double RETRY_S = 1.5;
static const double REFRESH_S = 60;

struct ow_type_discovery {
    struct ow_core *core;
    bool is_in_flight;   /* a request to the cloud */
    double attempted_at; /* when the last attempt began */
};

struct ow_type_discovery *ow_type_discovery_new(struct ow_core *core)
{
    struct ow_type_discovery *discovery = g_new0(struct ow_type_discovery, 1);
    discovery->core = core;
    return discovery;
}

void ow_type_discovery_free(struct ow_type_discovery *discovery)
{
    g_free(discovery);
}

static void on_cloud_types(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_type_discovery *discovery = owner;
    (void)data;
    discovery->is_in_flight = false;
    if (answer->cloud.status == OW_HTTP_STATUS_OK && answer->cloud.types != NULL)
        ow_machine_types_update(discovery->core->machine_types, answer->cloud.types);
}

static void on_stored_types(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_type_discovery *discovery = owner;
    (void)data;
    if (answer->store.status != OW_HTTP_STATUS_OK ||
        ow_machine_types_are_known(discovery->core->machine_types))
        return;
    const struct ow_store_item *item = &g_array_index(answer->store.items, struct ow_store_item, 0);
    g_autoptr(GArray) types = wire_machine_types_from_json(item->value);
    if (types != NULL)
        ow_machine_types_update(discovery->core->machine_types, types);
}

static void request_cloud_types(struct ow_type_discovery *discovery)
{
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    request->op = OW_CLOUD_TYPES;
    discovery->is_in_flight = true;
    ow_core_call_cloud(discovery->core, request, on_cloud_types, discovery, NULL, NULL);
}

static void read_stored_types(struct ow_type_discovery *discovery)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GET, OW_KEY_TYPES);
    ow_core_call_store(discovery->core, request, on_stored_types, discovery, NULL, NULL);
}

void ow_type_discovery_tick(struct ow_type_discovery *discovery)
{
    const struct ow_core *core = discovery->core;
    bool are_known = ow_machine_types_are_known(core->machine_types);
    if (discovery->is_in_flight || core->now < discovery->attempted_at + (are_known ? REFRESH_S : RETRY_S))
        return;
    discovery->attempted_at = core->now;
    /* A leader polls the cloud within its limit of requests. */
    if (core->leader == NULL)
        request_cloud_types(discovery);
    if (!are_known)
        read_stored_types(discovery);
}
