#include "core/leader/machine_type_polling.h"

#include "core/leader/leader_state.h"
#include "core/machine_types.h"
#include "model/cloud.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "wire/cloud_json.h"

#include <string.h>

/* The polling interval, and the pause after a failed poll. */
static const double INTERVAL_S = 60;
static const double RETRY_S = 2;

struct ow_machine_type_polling {
    bool is_in_flight; /* a request to the cloud */
    double next_at;    /* no call before this time; 0: none has been answered */
};

struct ow_machine_type_polling *ow_machine_type_polling_new(void)
{
    return g_new0(struct ow_machine_type_polling, 1);
}

void ow_machine_type_polling_free(struct ow_machine_type_polling *polling)
{
    g_free(polling);
}

/* Records the types for controllers that start while the cloud is down. */
static void record_types(struct ow_leader *leader, const GArray *types)
{
    struct ow_store_request *transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    g_autofree char *record = wire_machine_types_encode(types);
    bool fits = strlen(record) <= leader->core->store_limits.value_bytes;
    ow_store_request_compare(transaction, OW_KEY_LEADER, leader->fencing_token);
    if (fits)
        ow_store_request_put(transaction, OW_KEY_TYPES, g_steal_pointer(&record), 0);
    else
        g_warning("machine types not recorded: reason=\"the record exceeds the size limit of a value; a "
                  "controller that starts while the cloud is down can't accept jobs\"");
    ow_core_call_store(leader->core, transaction, NULL, leader, NULL, NULL);
}

static void on_types(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    struct ow_machine_type_polling *polling = leader->machine_type_polling;
    const GArray *types = answer->cloud.types;
    bool is_first_answer = polling->next_at == 0;
    (void)data;
    polling->is_in_flight = false;
    if (answer->cloud.status != OW_HTTP_STATUS_OK || types == NULL || types->len == 0) {
        polling->next_at = leader->core->now + RETRY_S;
        return;
    }
    polling->next_at = leader->core->now + INTERVAL_S;
    ow_machine_types_update(leader->core->machine_types, types);
    if (is_first_answer)
        record_types(leader, types);
}

void ow_machine_type_polling_tick(struct ow_leader *leader)
{
    struct ow_machine_type_polling *polling = leader->machine_type_polling;
    double now = leader->core->now;
    if (polling->is_in_flight || now < polling->next_at ||
        !ow_rate_limiter_take(&leader->cloud_limiter, 1, now))
        return;
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    request->op = OW_CLOUD_TYPES;
    polling->is_in_flight = true;
    ow_core_call_cloud(leader->core, request, on_types, leader, NULL, NULL);
}
