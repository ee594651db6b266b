/* Machines that are silent, sick or about to be taken, and attempts that must be gone by a certain time. */
#include "core/lead_state.h"

static const double DRIFT = 0.002, MARGIN_S = 1.5;
/* Recorded tasks on a machine that neither speaks nor is listed: by then it would have reported. */
static const double UNKNOWN_S = 12;
/* A machine that reports but answers no order for so long does not hear us. */
static const double DEAF_S = 10;
/* How long a machine that failed a job is kept from it, and from everybody until another job tells which of
   the two is at fault. */
static const double BAD_S = 60, SUSPECT_S = 20;
/* A replica that has run for so long shows that its job is sound. */
static const double PROVEN_S = 20;
enum { ERRORS_TO_QUARANTINE = 2, RUN_FAILURES = 3, DEAF_FEW = 2, SILENT_FEW = 3 };

/* Proof by time: a worker ends its tasks when lease_s has passed since it sent the last report that was
   answered. Only answers of ours count once it has seen our token: no older one is accepted. And that report
   was sent before the newest message came that we have of the session: late copies renew nothing. */
static void prove_by_lease(struct ow_lead *lead, struct ow_machine *m)
{
    double lease = lead->node->settings->lease_s * (1 + DRIFT) + MARGIN_S;
    double last = MAX(m->seen_at, m->fenced_at);
    if (!m->fenced || m->session <= m->dead_session || lead->node->now < last + lease)
        return;
    g_info("machine %s: session %" G_GUINT64_FORMAT " has run out unanswered", m->name, m->session);
    m->dead_session = m->session;
    while (m->attempts->len > 0)
        ow_attempt_end(lead, g_ptr_array_index(m->attempts, 0), OW_CAUSE_NONE,
                       "its machine's lease has run out");
}

static bool overdue(const struct ow_lead *lead, const struct ow_machine *m)
{
    const struct ow_machine_type *type = ow_machine_spec(lead, m);
    double boot = type != NULL ? type->boot_s : 60;
    return m->seen_at == 0 && lead->node->now - m->rented_at > 3 * boot + 20;
}

/* A machine nobody hears from: deleting it is proof at once, and ends the rent. */
static void pursue_silent(struct ow_lead *lead, struct ow_machine *m)
{
    double now = lead->node->now;
    double since = MAX(m->seen_at, lead->ready_at);
    if (m->listed == OW_LISTED_FAILED)
        ow_fleet_delete(lead, m, "it has failed");
    else if (m->lost_at > 0 && now > m->lost_at && now - since > 3)
        ow_fleet_delete(lead, m, "it was taken back");
    else if (m->seen_at == 0 && m->listed == OW_LISTED_NOT && m->attempts->len > 0 && now - since > UNKNOWN_S)
        ow_fleet_delete(lead, m, "its tasks are recorded, but nothing is heard or known of it");
    else if (overdue(lead, m) && now - lead->ready_at > 30)
        ow_fleet_delete(lead, m, "it does not come up");
    else if (m->seen_at != 0 &&
             now - MAX(MAX(m->reported_at, m->met_at), lead->ready_at) > 3 * lead->node->settings->lease_s)
        ow_fleet_delete(lead, m, "it has been silent for too long");
}

/* Seconds since the machine should have heard us. */
static double deaf_s(const struct ow_lead *lead, const struct ow_machine *m)
{
    if (!m->fenced)
        return m->seen_at > 0 || m->attempts->len > 0 ? lead->node->now - MAX(m->met_at, lead->ready_at) : 0;
    return m->unheard_since > 0 ? lead->node->now - m->unheard_since : 0;
}

/* A machine that does not hear us, whether or not it reports: reports alone are no sign of health. Its tasks
   have ended with its lease, unless an older coordinator feeds it: waiting gains nothing. */
static void pursue_deaf(struct ow_lead *lead, struct ow_machine *m)
{
    double deaf = deaf_s(lead, m), lease = lead->node->settings->lease_s;
    if (deaf > (m->attempts->len > 0 ? lease + 5 : 3 * lease))
        ow_fleet_delete(lead, m, "it does not hear us, and its tasks can't be accounted for");
    else if (m->fenced && deaf > DEAF_S && ow_book_heard_lately(lead, m))
        ow_fleet_delete(lead, m, "it reports but does not hear us");
}

static bool has_replicas(const struct ow_machine *m)
{
    for (guint i = 0; i < m->attempts->len; i++)
        if (ow_run_is_service(((const struct ow_attempt *)g_ptr_array_index(m->attempts, i))->job->run))
            return true;
    return false;
}

static bool fallen_silent(const struct ow_lead *lead, const struct ow_machine *m)
{
    return m->fenced && m->seen_at > 0 && !ow_book_heard_lately(lead, m);
}

/* A machine that alone has fallen silent has hardly been cut off: its replicas serve nobody, and a deletion
   proves them gone long before its lease does. Where many are silent at once they may serve on behind a cut
   that heals. */
static bool few_silent(const struct ow_lead *lead)
{
    unsigned silent = 0;
    for (guint i = 0; i < lead->machines->len; i++)
        silent += fallen_silent(lead, g_ptr_array_index(lead->machines, i)) ? 1 : 0;
    return silent <= SILENT_FEW;
}

static void pursue_for_replicas(struct ow_lead *lead, struct ow_machine *m)
{
    if (fallen_silent(lead, m) && m->unheard_since > 0 && has_replicas(m) &&
        lead->node->now - lead->ready_at > 2.5 * lead->node->settings->report_s)
        ow_fleet_delete(lead, m, "it is silent, and services miss their replicas");
}

/* Where many machines don't hear us the fault is hardly theirs. */
static bool few_deaf(const struct ow_lead *lead)
{
    unsigned deaf = 0;
    for (guint i = 0; i < lead->machines->len; i++)
        deaf += deaf_s(lead, g_ptr_array_index(lead->machines, i)) > 5 ? 1 : 0;
    return deaf <= DEAF_FEW || deaf <= lead->machines->len / 4;
}

/* Rule 7: what could still run of a cancelled job is ended by returning its machine, if nothing else works.
 */
static void pursue_cancelled(struct ow_lead *lead, struct ow_machine *m)
{
    double now = lead->node->now;
    for (guint i = 0; i < m->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(m->attempts, i);
        if (!at->stop || at->job->stance != OW_CANCELLED)
            continue;
        double waited = now - at->stop_at;
        if (waited > 1 && !m->direct_busy)
            m->direct_wanted = true;
        if (waited > 0.5 * lead->node->settings->cancel_s) {
            ow_fleet_delete(lead, m, "a cancelled task can't be ended otherwise");
            return;
        }
    }
}

static void drain_noticed(struct ow_lead *lead, struct ow_machine *m)
{
    double left = m->lost_at - lead->node->now;
    for (guint i = m->attempts->len; i > 0; i--) {
        if (i > m->attempts->len)
            continue;
        struct ow_attempt *at = g_ptr_array_index(m->attempts, i - 1);
        const struct ow_submission *s = at->job->spec->submission;
        if (s->kind == OW_KIND_SERVICE || s->checkpoint_s <= 0 || left < s->save_s + 1 || at->stop)
            continue;
        double grace = MIN(left, s->save_s + 2);
        if (s->gang)
            ow_run_stop(lead, at->job->run, grace, "its machine is taken back");
        else
            ow_attempt_stop(lead, at, grace, "its machine is taken back");
    }
}

void ow_care_tick(struct ow_lead *lead)
{
    bool may_blame = few_deaf(lead), may_fear = few_silent(lead);
    ow_replicas_care(lead);
    for (guint i = lead->machines->len; i > 0; i--) {
        if (i > lead->machines->len)
            continue;
        struct ow_machine *m = g_ptr_array_index(lead->machines, i - 1);
        prove_by_lease(lead, m);
        if (m->lost_at > 0)
            drain_noticed(lead, m);
        /* Recorded tasks on a machine not yet fenced, or orders that found no ear: try its own address. */
        if ((!m->fenced || m->unheard_since > 0 || (fallen_silent(lead, m) && has_replicas(m))) &&
            m->addr != NULL && m->listed != OW_LISTED_BOOTING)
            m->direct_wanted = true;
        /* A faulty machine is given back; a sound one is rented in its place if it is missed. */
        if (lead->node->now < m->quarantine_until && m->attempts->len == 0)
            ow_fleet_delete(lead, m, "it is faulty");
        pursue_cancelled(lead, m);
        pursue_silent(lead, m);
        if (may_fear)
            pursue_for_replicas(lead, m);
        if (may_blame)
            pursue_deaf(lead, m);
    }
}

static void clear_suspicion(const struct ow_run *run)
{
    GHashTableIter iter;
    void *machine;
    g_hash_table_iter_init(&iter, run->bad_machines);
    while (g_hash_table_iter_next(&iter, &machine, NULL))
        ((struct ow_machine *)machine)->suspect_until = 0;
}

void ow_care_avoid(struct ow_lead *lead, struct ow_machine *m, struct ow_run *run)
{
    /* For a while only: a job must not run out of machines because each of them failed it once. */
    if (lead->node->now > run->bad_until)
        g_hash_table_remove_all(run->bad_machines);
    run->bad_until = lead->node->now + BAD_S;
    g_hash_table_add(run->bad_machines, m);
}

/* Whether a replica of the service has served for a while: the job is sound, and what fails is the machines.
 */
static bool is_proven(const struct ow_lead *lead, const struct ow_run *run)
{
    for (guint i = 0; ow_run_is_service(run) && i < run->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(run->attempts, i);
        if (at->running_at > 0 && lead->node->now - at->running_at > PROVEN_S)
            return true;
    }
    return false;
}

void ow_care_error(struct ow_lead *lead, struct ow_machine *m, struct ow_run *run)
{
    double now = lead->node->now;
    ow_care_avoid(lead, m, run);
    /* A service that otherwise serves has no result that would forgive its failures: without this they would
       add up as long as it lives, and its replicas wait ever longer. */
    if (is_proven(lead, run))
        run->failures = 0;
    run->failures = MIN(run->failures + 1, 1000);
    guint bad = g_hash_table_size(run->bad_machines);
    if (bad >= RUN_FAILURES) {
        /* It fails wherever it goes: the job is at fault, not the machines. */
        double pause = MIN(60, 5 << MIN(run->failures / 4, 4));
        if (run->ready_at < now + 1)
            g_info("job %s fails on %u machines: paused for %.0f s", run->job->id, bad, pause);
        run->ready_at = MAX(run->ready_at, now + pause);
        clear_suspicion(run);
        g_hash_table_remove_all(run->bad_machines);
        return;
    }
    /* A job with many tasks proves no more against a machine than one with a single task. */
    m->errors += m->failed_job != run->job ? 1 : 0;
    m->failed_job = run->job;
    m->suspect_until = now + SUSPECT_S;
    if (m->errors < ERRORS_TO_QUARANTINE || now < m->quarantine_until)
        return;
    double pause = MIN(240, 30 << MIN(m->quarantines, 3));
    m->quarantines++;
    m->quarantine_until = now + pause;
    m->errors = ERRORS_TO_QUARANTINE - 1; /* one more job after it is enough */
    g_info("machine %s fails tasks: nothing is put on it for %.0f s", m->name, pause);
}
