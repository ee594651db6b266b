/* The machines that are provisioned: the cloud's list, and the return of those that are not needed. */
#include "core/machines/fleet.h"
#include "core/leader/leader_state.h"
#include "core/machines/headroom.h"
#include "core/machines/instance_offers.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/machine_removal.h"
#include "model/cloud.h"
#include "model/event.h"

#include <math.h>

static const double LIST_S = 10, LIST_RETRY_S = 2, DELETE_RETRY_S = 2, IDLE_S = 25;
/* Names in one deletion, by the cloud's protocol. */
enum { DELETE_MOST = 100 };
/* A machine is charged for a minute at least: giving it back within the first half of it saves little. */
static const double PAID_S = 30;
/* How much longer a spot machine is kept idle than an ordinary one. */
static const double SPOT_PATIENCE = 2;
/* An idle share of one in so many counts as one idle machine. */
static const double CROWD_SHARES = 10;

struct ow_fleet {
    double list_at;          /* when the list is due next */
    bool is_listing;         /* a call for it is under way */
    bool is_listed;          /* the list has been read completely */
    char *last_listed;       /* the last machine of the pages read so far; NULL: at the beginning */
    GPtrArray *to_terminate; /* names of machines whose deletion is to be sent */
    GHashTable *terminated;  /* set of names of machines deleted, which lagging lists still show */
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
    g_free(fleet->last_listed);
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

/* ---- deleting ---- */

static void apply_deletion_answer(struct ow_leader *leader, struct ow_machine *machine, int status)
{
    if (status == 200) {
        g_info("machine %s is returned", machine->name);
        g_hash_table_add(leader->fleet->terminated, g_strdup(machine->name));
        ow_instance_offers_forget_refusal(leader, machine); /* its place is free again */
        ow_machines_remove(leader, machine, "its machine is deleted");
    } else {
        /* Refused, it was not carried out and the machine stays of use. Without an answer it may be carried
           out yet, so nothing new goes there. */
        machine->is_terminating = status == 0;
        machine->terminate_not_before = leader->core->now + DELETE_RETRY_S;
    }
}

static void on_deleted(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const GPtrArray *names = data;
    for (guint i = 0; i < names->len; i++) {
        struct ow_machine *machine = ow_machines_find(leader, g_ptr_array_index(names, i));
        if (machine != NULL)
            apply_deletion_answer(leader, machine, answer->cloud.status);
    }
}

void ow_fleet_terminate(struct ow_leader *leader, struct ow_machine *machine, const char *why)
{
    double now = leader->core->now;
    if (now < machine->terminate_not_before || ow_rate_limiter_level(&leader->cloud_limiter, now) < 1)
        return;
    if (!machine->is_terminating)
        g_info("machine %s is being returned: %s", machine->name, why);
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
    for (guint i = 0; i < leader->fleet->to_terminate->len && i < DELETE_MOST; i++) {
        g_ptr_array_add(names, g_strdup(g_ptr_array_index(leader->fleet->to_terminate, i)));
        g_ptr_array_add(request->machines, g_strdup(g_ptr_array_index(leader->fleet->to_terminate, i)));
    }
    g_ptr_array_remove_range(leader->fleet->to_terminate, 0, names->len);
    ow_core_call_cloud(leader->core, request, on_deleted, leader, names, free_names);
}

/* ---- the list ---- */

static void on_listed(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    struct ow_fleet *fleet = leader->fleet;
    (void)data;
    fleet->is_listing = false;
    if (answer->cloud.status != 200 || answer->cloud.listed == NULL) {
        fleet->list_at = leader->core->now + LIST_RETRY_S;
        return;
    }
    const GArray *listed = answer->cloud.listed;
    for (guint i = 0; i < listed->len; i++) {
        const struct ow_listed_machine *listed_machine = &g_array_index(listed, struct ow_listed_machine, i);
        if (g_hash_table_contains(fleet->terminated, listed_machine->name))
            continue; /* the list lags */
        struct ow_machine *machine = ow_machines_find(leader, listed_machine->name);
        bool fresh = machine == NULL;
        if (fresh)
            machine = ow_machines_find_or_add(leader, listed_machine->name);
        ow_machine_describe(leader, machine, listed_machine->addr, listed_machine->type, listed_machine->zone,
                            listed_machine->spot);
        /* Lists lag: what its own worker reported is newer. */
        if (machine->liveness.last_message_at == 0 || listed_machine->state == OW_LISTED_FAILED)
            machine->listed = listed_machine->state;
        /* One that reported first was older than it seemed. */
        machine->provisioned_at =
            fresh ? leader->core->now - listed_machine->age_s
                  : MIN(machine->provisioned_at, leader->core->now - listed_machine->age_s);
    }
    g_clear_pointer(&fleet->last_listed, g_free);
    if (answer->cloud.has_more && listed->len > 0) {
        fleet->last_listed = g_strdup(g_array_index(listed, struct ow_listed_machine, listed->len - 1).name);
    } else {
        /* Not before the last page: what is not known yet would be provisioned a second time. */
        fleet->is_listed = true;
        fleet->list_at = leader->core->now + LIST_S;
    }
}

void ow_fleet_list(struct ow_leader *leader)
{
    struct ow_fleet *fleet = leader->fleet;
    if (fleet->is_listing || leader->core->now < fleet->list_at ||
        !ow_rate_limiter_take(&leader->cloud_limiter, 1, leader->core->now))
        return;
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    request->op = OW_CLOUD_LIST;
    request->after = g_strdup(fleet->last_listed);
    fleet->is_listing = true;
    ow_core_call_cloud(leader->core, request, on_listed, leader, NULL, NULL);
}

/* ---- returning ---- */

static bool idle(const struct ow_machine *machine)
{
    return machine->attempts->len == 0 && machine->liveness.is_fenced && !machine->is_terminating &&
           machine->holders == 0;
}

static bool alike(const struct ow_machine *a, const struct ow_machine *b)
{
    return a->type == b->type && a->spot == b->spot;
}

/* The more machines of a kind are idle, the less likely each is to be needed soon; in a large fleet their
   share counts, or a short lull would empty it. A cheap one may wait longer for work than it costs to do
   without it. */
static double idle_limit(const struct ow_machine *machine, unsigned idle_alike, unsigned all_alike)
{
    double crowd = MIN(idle_alike, CROWD_SHARES * idle_alike / MAX(all_alike, 1));
    return (machine->spot ? SPOT_PATIENCE : 1) * IDLE_S / MAX(crowd, 1);
}

/* Idle machines that no class needs ready, and how many there are of a machine's kind. */
static void count_alike(const struct ow_leader *leader, const GPtrArray *unneeded,
                        const struct ow_machine *machine, unsigned *idle_alike, unsigned *all_alike)
{
    *idle_alike = 0;
    *all_alike = 0;
    for (guint i = 0; i < unneeded->len; i++)
        *idle_alike += alike(g_ptr_array_index(unneeded, i), machine) ? 1 : 0;
    for (guint i = 0; i < leader->machines->len; i++)
        *all_alike += alike(g_ptr_array_index(leader->machines, i), machine) ? 1 : 0;
}

void ow_fleet_scale_in(struct ow_leader *leader)
{
    double now = leader->core->now;
    GPtrArray *unneeded = ow_headroom_unneeded(leader, idle);
    const struct ow_machine *last = NULL;
    unsigned idle_alike = 0, all_alike = 0;
    for (guint i = 0; i < unneeded->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(unneeded, i);
        if (last == NULL || !alike(machine, last))
            count_alike(leader, unneeded, machine, &idle_alike, &all_alike);
        last = machine;
        if (now - machine->provisioned_at > PAID_S &&
            now - MAX(machine->idle_since, leader->ready_at) > idle_limit(machine, idle_alike, all_alike))
            ow_fleet_terminate(leader, machine, "it is idle");
    }
    g_ptr_array_free(unneeded, TRUE);
}
