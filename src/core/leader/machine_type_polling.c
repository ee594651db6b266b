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
    double next_at;    /* no call before this time */
    GArray *recorded; /* struct ow_machine_type, a reference: the offer last recorded in this term, or NULL */
};

struct ow_machine_type_polling *ow_machine_type_polling_new(void)
{
    return g_new0(struct ow_machine_type_polling, 1);
}

static void unref_offer(void *offer)
{
    if (offer != NULL)
        g_array_unref(offer);
}

void ow_machine_type_polling_free(struct ow_machine_type_polling *polling)
{
    if (polling == NULL)
        return;
    unref_offer(polling->recorded);
    g_free(polling);
}

/* ---- the record for controllers that start while the cloud is down ---- */

static bool is_same_size(const struct ow_resources *a, const struct ow_resources *b)
{
    return a->cpus == b->cpus && a->gpus == b->gpus && a->memory_gb == b->memory_gb;
}

static bool are_same_zones(char **a, char **b)
{
    if (a == NULL || b == NULL)
        return a == b;
    return g_strv_equal((const char *const *)a, (const char *const *)b);
}

static bool is_same_type(const struct ow_machine_type *a, const struct ow_machine_type *b)
{
    return strcmp(a->name, b->name) == 0 && is_same_size(&a->size, &b->size) &&
           are_same_zones(a->zones, b->zones);
}

/* Whether jobs can run on the same types in the same zones. Other values, as prices, which change all the
   time, are as good from an older record. */
static bool is_same_offer(const GArray *a, const GArray *b)
{
    if (a->len != b->len)
        return false;
    for (guint i = 0; i < a->len; i++)
        if (!is_same_type(&g_array_index(a, struct ow_machine_type, i),
                          &g_array_index(b, struct ow_machine_type, i)))
            return false;
    return true;
}

static void set_recorded(struct ow_machine_type_polling *polling, GArray *offer)
{
    unref_offer(polling->recorded);
    polling->recorded = g_array_ref(offer);
}

static void on_recorded(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    if (answer->store.status == OW_HTTP_STATUS_OK)
        set_recorded(leader->machine_type_polling, data);
}

static void write_record(struct ow_leader *leader, GArray *offer)
{
    g_autofree char *record = wire_machine_types_encode(offer);
    if (strlen(record) > leader->core->store_limits.value_bytes) {
        g_warning("machine types not recorded: reason=\"the record exceeds the size limit of a value; a "
                  "controller that starts while the cloud is down can't accept jobs\"");
        /* Not tried again before the offer changes. */
        set_recorded(leader->machine_type_polling, offer);
        return;
    }
    struct ow_store_request *transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_request_compare(transaction, OW_KEY_LEADER, leader->fencing_token);
    ow_store_request_put(transaction, OW_KEY_TYPES, g_steal_pointer(&record), 0);
    ow_core_call_store(leader->core, transaction, on_recorded, leader, g_array_ref(offer), unref_offer);
}

/* ---- polling ---- */

static void on_types(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    struct ow_machine_type_polling *polling = leader->machine_type_polling;
    GArray *offer = answer->cloud.types;
    (void)data;
    polling->is_in_flight = false;
    if (answer->cloud.status != OW_HTTP_STATUS_OK || offer == NULL || offer->len == 0) {
        polling->next_at = leader->core->now + RETRY_S;
        return;
    }
    polling->next_at = leader->core->now + INTERVAL_S;
    ow_machine_types_update(leader->core->machine_types, offer);
    if (polling->recorded == NULL || !is_same_offer(polling->recorded, offer))
        write_record(leader, offer);
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
