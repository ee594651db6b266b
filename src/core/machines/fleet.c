#include "core/machines/fleet.h"

#include "core/leader/leader_state.h"
#include "core/machines/instance_offers.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/machine_removal.h"
#include "model/cloud.h"
#include "model/event.h"
#include "model/http_status.h"

#include <math.h>

/* Interval between reads of the cloud's list, and the delay before a retry after a failure. */
static const double LIST_INTERVAL_S = 10;
static const double LIST_RETRY_S = 2;
/* Delay before the retry of a deletion that was refused or not answered. */
static const double DELETE_RETRY_S = 2;
/* The cloud's limit of machines in one deletion. */
enum { DELETE_BATCH_MAX = 100 };

struct ow_fleet {
    double next_list_at;     /* when the list is due next */
    bool is_list_in_flight;  /* a call for a page is in flight */
    bool is_listed;          /* the list has been read completely at least once */
    char *list_cursor;       /* last machine of the pages read so far; NULL: at the first page */
    GPtrArray *to_terminate; /* names of machines whose deletion is to be sent */
    GHashTable *terminated;  /* set of names of deleted machines, which a lagging list may still show */
};

struct ow_fleet *ow_fleet_new(void)
{
    struct ow_fleet *fleet = g_new0(struct ow_fleet, 1);
    fleet->to_terminate = g_ptr_array_new_with_free_func(g_free);
    fleet->terminated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return fleet;
}

void ow_fleet_free(struct ow_fleet *fleet)
{
    g_free(fleet->list_cursor);
    g_ptr_array_free(fleet->to_terminate, TRUE);
    g_hash_table_destroy(fleet->terminated);
    g_free(fleet);
}

bool ow_fleet_is_listed(const struct ow_leader *leader)
{
    return leader->fleet->is_listed;
}

bool ow_fleet_has_terminated(const struct ow_leader *leader, const char *name)
{
    return g_hash_table_contains(leader->fleet->terminated, name);
}

/* ---- deletion ---- */

/* Safety rule 2, proof by an acknowledged deletion: nothing runs on the machine after it. */
static void apply_deletion(struct ow_leader *leader, struct ow_machine *machine)
{
    g_info("machine terminated: machine=%s", machine->name);
    g_hash_table_add(leader->fleet->terminated, g_strdup(machine->name));
    ow_instance_offers_remove_refusal(leader, machine); /* its capacity is free again */
    ow_machines_remove(leader, machine, "the instance is deleted");
}

/* A refused deletion had no effect, so the machine stays usable. An unanswered one may still take effect, so
   nothing new is placed on the machine. */
static void apply_failed_deletion(struct ow_leader *leader, struct ow_machine *machine, int status)
{
    machine->is_terminating = status == OW_HTTP_STATUS_NONE;
    machine->terminate_not_before = leader->core->now + DELETE_RETRY_S;
}

static void on_deleted(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const GPtrArray *names = data;
    for (guint i = 0; i < names->len; i++) {
        struct ow_machine *machine = ow_machines_find(leader, g_ptr_array_index(names, i));
        if (machine != NULL && answer->cloud.status == OW_HTTP_STATUS_OK)
            apply_deletion(leader, machine);
        else if (machine != NULL)
            apply_failed_deletion(leader, machine, answer->cloud.status);
    }
}

void ow_fleet_terminate(struct ow_leader *leader, struct ow_machine *machine, const char *why)
{
    double now = leader->core->now;
    if (now < machine->terminate_not_before || ow_rate_limiter_level(&leader->cloud_limiter, now) < 1)
        return;
    if (!machine->is_terminating)
        g_info("machine is being terminated: machine=%s reason=\"%s\"", machine->name, why);
    machine->is_terminating = true;
    machine->terminate_not_before = INFINITY;
    g_ptr_array_add(leader->fleet->to_terminate, g_strdup(machine->name));
}

static void free_names(void *names)
{
    g_ptr_array_free(names, TRUE);
}

void ow_fleet_send_terminations(struct ow_leader *leader)
{
    if (leader->fleet->to_terminate->len == 0 ||
        !ow_rate_limiter_take(&leader->cloud_limiter, 1, leader->core->now))
        return;
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    request->op = OW_CLOUD_TERMINATE;
    request->machines = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < leader->fleet->to_terminate->len && i < DELETE_BATCH_MAX; i++) {
        g_ptr_array_add(names, g_strdup(g_ptr_array_index(leader->fleet->to_terminate, i)));
        g_ptr_array_add(request->machines, g_strdup(g_ptr_array_index(leader->fleet->to_terminate, i)));
    }
    g_ptr_array_remove_range(leader->fleet->to_terminate, 0, names->len);
    ow_core_call_cloud(leader->core, request, on_deleted, leader, names, free_names);
}

/* ---- list of instances ---- */

static void apply_listed_machine(struct ow_leader *leader, const struct ow_listed_machine *listed)
{
    if (ow_fleet_has_terminated(leader, listed->name))
        return; /* the list lags behind the deletion */
    double provisioned_at = leader->core->now - listed->age_s;
    struct ow_machine *machine = ow_machines_find(leader, listed->name);
    if (machine == NULL) {
        machine = ow_machines_find_or_add(leader, listed->name);
        machine->provisioned_at = provisioned_at;
    }
    ow_machine_describe(leader, machine, listed->addr, listed->type, listed->zone, listed->spot);
    /* The list lags: messages of the machine's own worker are newer. */
    if (machine->liveness.last_message_at == 0 || listed->state == OW_LISTED_FAILED)
        machine->listed = listed->state;
    /* A machine that was registered by a heartbeat was provisioned before that. */
    machine->provisioned_at = MIN(machine->provisioned_at, provisioned_at);
}

/* The list counts as read only after its last page: before, scale-out would provision replacements for
   machines that are not known yet. */
static void advance_list_cursor(struct ow_leader *leader, const GArray *listed, bool has_more)
{
    struct ow_fleet *fleet = leader->fleet;
    g_clear_pointer(&fleet->list_cursor, g_free);
    if (has_more && listed->len > 0) {
        fleet->list_cursor = g_strdup(g_array_index(listed, struct ow_listed_machine, listed->len - 1).name);
        return;
    }
    fleet->is_listed = true;
    fleet->next_list_at = leader->core->now + LIST_INTERVAL_S;
}

static void on_listed(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const GArray *listed = answer->cloud.listed;
    (void)data;
    leader->fleet->is_list_in_flight = false;
    if (answer->cloud.status != OW_HTTP_STATUS_OK || listed == NULL) {
        leader->fleet->next_list_at = leader->core->now + LIST_RETRY_S;
        return;
    }
    for (guint i = 0; i < listed->len; i++)
        apply_listed_machine(leader, &g_array_index(listed, struct ow_listed_machine, i));
    advance_list_cursor(leader, listed, answer->cloud.has_more);
}

void ow_fleet_list(struct ow_leader *leader)
{
    struct ow_fleet *fleet = leader->fleet;
    if (fleet->is_list_in_flight || leader->core->now < fleet->next_list_at ||
        !ow_rate_limiter_take(&leader->cloud_limiter, 1, leader->core->now))
        return;
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    request->op = OW_CLOUD_LIST;
    request->after = g_strdup(fleet->list_cursor);
    fleet->is_list_in_flight = true;
    ow_core_call_cloud(leader->core, request, on_listed, leader, NULL, NULL);
}
