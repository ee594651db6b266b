/* The machines that are rented: the cloud's list, and giving back what is of no use. */
#include "core/rent_state.h"

#include <math.h>

static const double LIST_S = 10, IDLE_S = 25;
/* A machine is charged for a minute at least: giving it back within the first half of it saves little. */
static const double PAID_S = 30;
/* How much longer a spot machine is kept idle than an ordinary one. */
static const double SPOT_PATIENCE = 2;

/* ---- deleting ---- */

static void on_deleted(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_lead *lead = owner;
    struct ow_machine *m = ow_book_find(lead, data);
    if (m == NULL)
        return;
    if (answer->cloud.status == 200) {
        g_info("machine %s is returned", m->name);
        g_hash_table_add(lead->returned, g_strdup(m->name));
        ow_rent_forget_refusal(lead, m); /* its place is free again */
        ow_book_remove(lead, m, "its machine is deleted");
    } else {
        /* Refused, it was not carried out and the machine stays of use. Without an answer it may be carried
           out yet, so nothing new goes there. */
        m->deleting = answer->cloud.status == 0;
        m->delete_at = lead->node->now + 2;
    }
}

void ow_fleet_delete(struct ow_lead *lead, struct ow_machine *m, const char *why)
{
    if (lead->node->now < m->delete_at || !ow_bucket_take(&lead->cloud, 1, lead->node->now))
        return;
    if (!m->deleting)
        g_info("machine %s is being returned: %s", m->name, why);
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    request->op = OW_CLOUD_DELETE;
    request->machines = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(request->machines, g_strdup(m->name));
    m->deleting = true;
    m->delete_at = INFINITY;
    ow_node_cloud(lead->node, request, on_deleted, lead, g_strdup(m->name), g_free);
}

/* ---- the list ---- */

static void on_listed(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_lead *lead = owner;
    (void)data;
    lead->listing = false;
    if (answer->cloud.status != 200 || answer->cloud.listed == NULL) {
        lead->list_at = lead->node->now + 2;
        return;
    }
    const GArray *listed = answer->cloud.listed;
    lead->listed_once = true;
    for (guint i = 0; i < listed->len; i++) {
        const struct ow_listed_machine *l = &g_array_index(listed, struct ow_listed_machine, i);
        if (g_hash_table_contains(lead->returned, l->name))
            continue; /* the list lags */
        struct ow_machine *m = ow_book_find(lead, l->name);
        bool fresh = m == NULL;
        if (fresh)
            m = ow_book_get(lead, l->name);
        ow_book_describe(lead, m, l->addr, l->type, l->zone, l->spot);
        /* Lists lag: what its own worker said is newer. */
        if (m->seen_at == 0 || l->state == OW_LISTED_FAILED)
            m->listed = l->state;
        /* One that reported first was older than it seemed. */
        m->rented_at = fresh ? lead->node->now - l->age_s : MIN(m->rented_at, lead->node->now - l->age_s);
    }
    g_clear_pointer(&lead->list_after, g_free);
    if (answer->cloud.more && listed->len > 0)
        lead->list_after = g_strdup(g_array_index(listed, struct ow_listed_machine, listed->len - 1).name);
    else
        lead->list_at = lead->node->now + LIST_S;
}

void ow_fleet_list(struct ow_lead *lead)
{
    if (lead->listing || lead->node->now < lead->list_at || !ow_bucket_take(&lead->cloud, 1, lead->node->now))
        return;
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    request->op = OW_CLOUD_LIST;
    request->after = g_strdup(lead->list_after);
    lead->listing = true;
    ow_node_cloud(lead->node, request, on_listed, lead, NULL, NULL);
}

/* ---- returning ---- */

static bool held(const struct ow_lead *lead, const struct ow_machine *m)
{
    for (guint i = 0; i < lead->runs->len; i++) {
        const struct ow_run *run = g_ptr_array_index(lead->runs, i);
        for (guint h = 0; run->reservation != NULL && h < run->reservation->holds->len; h++)
            if (g_array_index(run->reservation->holds, struct ow_hold, h).machine == m)
                return true;
    }
    return false;
}

static bool idle(struct ow_lead *lead, const struct ow_machine *m)
{
    return m->attempts->len == 0 && m->fenced && !m->deleting && !held(lead, m) && !ow_spare_needs(lead, m);
}

/* The more machines of a type are idle, the less likely each is to be needed soon. A cheap one may wait
   longer for work than it costs to do without it. */
static double idle_limit(struct ow_lead *lead, const struct ow_machine *m)
{
    unsigned alike = 0;
    for (guint i = 0; i < lead->machines->len; i++) {
        const struct ow_machine *other = g_ptr_array_index(lead->machines, i);
        alike += other->type == m->type && other->spot == m->spot && idle(lead, other) ? 1 : 0;
    }
    return (m->spot ? SPOT_PATIENCE : 1) * IDLE_S / MAX(alike, 1);
}

void ow_fleet_return_idle(struct ow_lead *lead)
{
    double now = lead->node->now;
    for (guint i = lead->machines->len; i > 0; i--) {
        struct ow_machine *m = g_ptr_array_index(lead->machines, i - 1);
        if (idle(lead, m) && now - m->rented_at > PAID_S &&
            now - MAX(m->idle_since, lead->ready_at) > idle_limit(lead, m))
            ow_fleet_delete(lead, m, "it is idle");
    }
}
