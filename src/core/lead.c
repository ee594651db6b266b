#include "core/election.h"
#include "core/lead_state.h"
#include "core/records.h"
#include "wire/records_json.h"

#include <string.h>

static const double PASS_GAP_S = 0.1, PASS_LEAST_S = 1, CARE_S = 0.5, SUMMARY_S = 1.5, HINTS_S = 5,
                    TYPES_S = 60;
/* So many reports missed by all machines, and a fresh word of a peer that they come to it. */
static const double LOST_REPORTS = 2.5, LOST_WORD_S = 3;
/* One machine alone may be at fault itself. */
enum { LOST_LEAST = 2 };

struct ow_lead *ow_lead_new(struct ow_node *node, uint64_t token)
{
    struct ow_lead *lead = g_new0(struct ow_lead, 1);
    lead->node = node;
    lead->token = token;
    lead->machines_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    lead->machines = g_ptr_array_new_with_free_func(ow_machine_free);
    lead->runs = g_ptr_array_new();
    lead->image_loads = ow_place_new_loads();
    lead->shortlists = ow_shortlists_new();
    lead->allowances = ow_reason_new_allowances();
    lead->groups = g_ptr_array_new_with_free_func(ow_group_free);
    lead->refusals = g_array_new(FALSE, FALSE, sizeof(struct ow_rental_refusal));
    lead->doomed = g_ptr_array_new_with_free_func(g_free);
    lead->returned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    lead->recorder = ow_recorder_new(lead);
    ow_bucket_init(&lead->cloud, 0.8 * node->settings->cloud_rps, node->settings->cloud_rps, node->now);
    return lead;
}

void ow_lead_free(struct ow_lead *lead)
{
    ow_calls_forget(lead->node->calls, lead);
    ow_takeover_free(lead);
    while (lead->runs->len > 0)
        ow_run_drop(lead, g_ptr_array_index(lead->runs, 0));
    g_ptr_array_free(lead->runs, TRUE);
    g_hash_table_destroy(lead->machines_by_name);
    g_ptr_array_free(lead->machines, TRUE);
    g_array_free(lead->refusals, TRUE);
    g_ptr_array_free(lead->doomed, TRUE);
    g_hash_table_destroy(lead->returned);
    ow_recorder_free(lead->recorder);
    g_ptr_array_free(lead->groups, TRUE);
    g_array_free(lead->image_loads, TRUE);
    g_array_free(lead->shortlists, TRUE);
    g_array_free(lead->allowances, TRUE);
    g_free(lead->team_used);
    g_free(lead->entitled);
    g_free(lead->borrows);
    g_free(lead->list_after);
    g_free(lead->load_after);
    g_free(lead);
}

void ow_lead_report(struct ow_lead *lead, uint64_t request, const struct ow_report *report)
{
    struct ow_effect *e = ow_effect_new(OW_EFFECT_ORDERS, request);
    GArray *clears = g_array_new(FALSE, FALSE, sizeof(struct ow_order));
    struct ow_machine *m = ow_reports_take(lead, report, clears);
    if (m != NULL && report->session == m->session && report->seq == m->seq)
        m->reported_at = lead->node->now;
    /* Until the job table has been read, an answer could keep tasks alive whose cancellation a user has heard
       of. One without our token renews nothing, and the worker stays. */
    e->token = lead->phase == OW_LEAD_REFRESH ? 0 : lead->token;
    bool current = m != NULL && m->fenced && report->token == lead->token && report->session == m->session &&
                   report->seq == m->seq && lead->phase == OW_LEAD_READY;
    /* Orders go only to the session that they are meant for, and not in answer to a late copy. */
    if (current)
        e->orders = ow_orders_for(lead, m, NULL);
    else if (lead->phase != OW_LEAD_REFRESH)
        e->orders = ow_reports_cancelled(lead, report);
    else
        e->orders = g_array_new(FALSE, FALSE, sizeof(struct ow_order));
    if (current)
        g_array_append_vals(e->orders, clears->data, clears->len);
    g_array_free(clears, TRUE);
    ow_node_emit(lead->node, e);
}

static void count_for_users(struct ow_lead *lead)
{
    for (guint i = 0; i < lead->runs->len; i++) {
        const struct ow_run *run = g_ptr_array_index(lead->runs, i);
        run->job->done = (int)run->done;
        run->job->running = (int)run->running;
    }
}

static void tell_summary(struct ow_lead *lead)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_SUMMARY);
    message->number = lead->token;
    for (guint i = 0; i < lead->runs->len && i < 1500; i++) {
        const struct ow_run *run = g_ptr_array_index(lead->runs, i);
        struct ow_peer_job job = {
            .done = run->job->done, .running = run->job->running, .reason = g_strdup(run->job->reason)};
        g_strlcpy(job.id, run->job->id, sizeof job.id);
        g_array_append_val(message->jobs, job);
    }
    ow_node_tell_peers(lead->node, message);
}

static void tell_machines(struct ow_lead *lead)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_MACHINES);
    message->number = lead->token;
    for (guint i = 0; i < lead->machines->len && i < 3000; i++) {
        const struct ow_machine *m = g_ptr_array_index(lead->machines, i);
        if (m->addr == NULL || m->type < 0 || m->deleting)
            continue;
        struct ow_peer_machine hint = {g_strdup(m->name), g_strdup(m->addr),
                                       g_strdup(ow_names_text(lead->node->names.types, m->type)),
                                       g_strdup(ow_names_text(lead->node->names.zones, m->zone)), m->spot};
        g_array_append_val(message->machines, hint);
    }
    ow_node_tell_peers(lead->node, message);
}

static void on_types(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_lead *lead = owner;
    (void)data;
    lead->types_busy = false;
    if (answer->cloud.status != 200 || answer->cloud.types == NULL || answer->cloud.types->len == 0) {
        lead->types_at = lead->node->now + 2;
        return;
    }
    bool first = lead->types_at == 0;
    lead->types_at = lead->node->now + TYPES_S;
    ow_node_set_types(lead->node, answer->cloud.types);
    if (!first)
        return;
    /* For whoever starts while the cloud is down. */
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    char *record = wire_types_record(answer->cloud.types);
    if (strlen(record) > lead->node->limits.value_bytes)
        g_warning(
            "the machine types don't fit a value: who starts while the cloud is down can't accept jobs");
    ow_store_expect(txn, OW_KEY_COORDINATOR, lead->token);
    if (strlen(record) <= lead->node->limits.value_bytes)
        ow_store_write(txn, OW_KEY_TYPES, g_steal_pointer(&record), 0);
    g_free(record);
    ow_node_store(lead->node, txn, NULL, lead, NULL, NULL);
}

static void ask_types(struct ow_lead *lead)
{
    if (lead->types_busy || lead->node->now < lead->types_at ||
        !ow_bucket_take(&lead->cloud, 1, lead->node->now))
        return;
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    request->op = OW_CLOUD_TYPES;
    lead->types_busy = true;
    ow_node_cloud(lead->node, request, on_types, lead, NULL, NULL);
}

/* Whether every worker has fallen silent at once while they come to other controllers: it is we who are cut
   off from them, well as we may stand with the state service. Where they come to nobody, they are gone. */
static bool workers_lost(const struct ow_lead *lead)
{
    double now = lead->node->now, heard = lead->ready_at;
    unsigned expected = 0;
    for (guint i = 0; i < lead->machines->len; i++) {
        const struct ow_machine *m = g_ptr_array_index(lead->machines, i);
        heard = MAX(heard, m->seen_at);
        expected += m->listed == OW_LISTED_RUNNING && !m->deleting ? 1 : 0;
    }
    return expected >= LOST_LEAST && now - lead->node->peer_hears_at < LOST_WORD_S &&
           now - heard > LOST_REPORTS * lead->node->settings->report_s;
}

/* Whether an attempt of a cancelled job is where it can only end: running, on a machine that heeds us alone.
   Whatever has yet to begin might do so after the user was told, for as long as its stop is on the way. */
static bool only_ends(const struct ow_attempt *at)
{
    return at->stop && at->state == OW_AT_SEEN && at->machine->fenced &&
           (at->phase == OW_RUNNING || at->phase == OW_SAVING);
}

bool ow_lead_cancel(struct ow_lead *lead, struct ow_job *job)
{
    /* Before it is ready a coordinator does not know what there is to end. */
    if (lead->phase != OW_LEAD_READY)
        return false;
    ow_lead_wake(lead);
    if (job->run == NULL)
        return true;
    ow_run_stop(lead, job->run, 0, "its job is cancelled");
    for (guint i = 0; i < job->run->attempts->len; i++)
        if (!only_ends(g_ptr_array_index(job->run->attempts, i)))
            return false;
    return true;
}

void ow_lead_wake(struct ow_lead *lead)
{
    lead->dirty = true;
}

void ow_lead_tick(struct ow_lead *lead)
{
    double now = lead->node->now;
    ow_format_tick(lead);
    ow_takeover_tick(lead);
    ask_types(lead);
    if (lead->phase != OW_LEAD_READY)
        return;
    if ((lead->dirty && now >= lead->pass_at + PASS_GAP_S) || now >= lead->pass_at + PASS_LEAST_S) {
        lead->dirty = false;
        lead->pass_at = now;
        ow_schedule_jobs(lead);
        ow_schedule_pass(lead);
        count_for_users(lead);
    }
    if (now >= lead->care_at) {
        lead->care_at = now + CARE_S;
        if (workers_lost(lead)) {
            ow_election_yield(lead->node->election, "no worker is heard any more");
            return;
        }
        ow_care_tick(lead);
    }
    ow_rent_tick(lead);
    ow_fleet_send_deletions(lead);
    ow_recorder_tick(lead);
    ow_orders_send(lead);
    if (now >= lead->summary_at) {
        lead->summary_at = now + SUMMARY_S;
        tell_summary(lead);
    }
    if (now >= lead->hints_at) {
        lead->hints_at = now + HINTS_S;
        tell_machines(lead);
    }
}
