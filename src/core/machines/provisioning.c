#include "core/machines/provisioning.h"

#include "core/leader/leader_state.h"
#include "core/machines/instance_offers.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "model/cloud.h"
#include "model/event.h"
#include "model/http_status.h"

struct ow_provisioning {
    unsigned request_count; /* requests so far: part of their names */
    unsigned calls_in_flight;
    bool has_answered; /* the cloud has answered a call since the last question */
};

/* A provision call in flight. */
struct provision_call {
    int type;
    int zone;
    bool spot;
    unsigned count;
};

struct ow_provisioning *ow_provisioning_new(void)
{
    return g_new0(struct ow_provisioning, 1);
}

void ow_provisioning_free(struct ow_provisioning *provisioning)
{
    g_free(provisioning);
}

bool ow_provisioning_is_in_flight(const struct ow_leader *leader)
{
    return leader->provisioning->calls_in_flight > 0;
}

bool ow_provisioning_take_answered(struct ow_leader *leader)
{
    bool has_answered = leader->provisioning->has_answered;
    leader->provisioning->has_answered = false;
    return has_answered;
}

/* ---- answers ---- */

static void add_machine(struct ow_leader *leader, const char *name, const char *type, const char *zone,
                        bool spot)
{
    struct ow_machine *machine = ow_machines_find_or_add(leader, name);
    ow_machine_describe(leader, machine, NULL, type, zone, spot);
    if (machine->listed == OW_LISTED_ABSENT)
        machine->listed = OW_LISTED_BOOTING;
    g_info("machine provisioned: machine=%s type=%s zone=%s kind=%s", name, type, zone,
           spot ? "spot" : "ordinary");
}

static void on_provisioned(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const struct provision_call *call = data;
    const char *type = ow_type_sets_name(leader->core->interners.types, call->type);
    const char *zone = ow_interner_text(leader->core->interners.zones, call->zone);
    leader->provisioning->calls_in_flight--;
    leader->provisioning->has_answered = true;
    if (answer->cloud.status != OW_HTTP_STATUS_OK || answer->cloud.provisioned == NULL ||
        answer->cloud.provisioned[0] == NULL) {
        ow_instance_offers_add_refusal(leader, call->type, call->zone, call->spot);
        g_info("cloud refused to provision machines: type=%s zone=%s kind=%s status=%d machines=%u", type,
               zone, call->spot ? "spot" : "ordinary", answer->cloud.status, call->count);
        return;
    }
    if (g_strv_length(answer->cloud.provisioned) < call->count)
        /* Fewer than requested: the cloud has no more of this kind. */
        ow_instance_offers_add_refusal(leader, call->type, call->zone, call->spot);
    for (char **name = answer->cloud.provisioned; *name != NULL; name++)
        add_machine(leader, *name, type, zone, call->spot);
}

/* ---- calls ---- */

static void send_provision_call(struct ow_leader *leader, const struct ow_expected_machine *expected,
                                unsigned count)
{
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    struct provision_call *call = g_new0(struct provision_call, 1);
    *call = (struct provision_call){.type = expected->machine.type,
                                    .zone = expected->machine.zone,
                                    .spot = expected->machine.spot,
                                    .count = count};
    request->op = OW_CLOUD_PROVISION;
    /* The fencing token is unique to this leader, so no other process uses the name for another request. */
    request->name = g_strdup_printf("r-%" G_GUINT64_FORMAT "-%u", leader->fencing_token,
                                    ++leader->provisioning->request_count);
    request->type = g_strdup(ow_type_sets_name(leader->core->interners.types, call->type));
    request->zone = g_strdup(ow_interner_text(leader->core->interners.zones, call->zone));
    request->spot = call->spot;
    request->count = count;
    leader->provisioning->calls_in_flight++;
    ow_core_call_cloud(leader->core, request, on_provisioned, leader, call, g_free);
}

static bool is_same_kind(const struct ow_expected_machine *a, const struct ow_expected_machine *b)
{
    return a->to_provision && b->to_provision && a->machine.type == b->machine.type &&
           a->machine.zone == b->machine.zone && a->machine.spot == b->machine.spot;
}

/* Marks the planned machine at `first` and all later ones of its kind as requested. @return their number */
static unsigned mark_kind_requested(GArray *plan, guint first)
{
    unsigned count = 0;
    const struct ow_expected_machine kind = g_array_index(plan, struct ow_expected_machine, first);
    for (guint i = first; i < plan->len; i++) {
        struct ow_expected_machine *expected = &g_array_index(plan, struct ow_expected_machine, i);
        if (!is_same_kind(&kind, expected))
            continue;
        expected->to_provision = false;
        count++;
    }
    return count;
}

void ow_provisioning_request(struct ow_leader *leader, GArray *plan)
{
    for (guint i = 0; i < plan->len; i++) {
        const struct ow_expected_machine *expected = &g_array_index(plan, struct ow_expected_machine, i);
        if (!expected->to_provision)
            continue;
        if (!ow_rate_limiter_take(&leader->cloud_limiter, 1, leader->core->now))
            return;
        send_provision_call(leader, expected, mark_kind_requested(plan, i));
    }
}
