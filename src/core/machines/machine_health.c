/* Machines that are silent, sick or about to be taken, and attempts that must be gone by a certain time. */
#include "core/machines/machine_health.h"
#include "core/leader_state.h"
#include "core/machines/fleet.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/run.h"
#include "core/scheduling/service_replicas.h"

static const double DRIFT = 0.002, MARGIN_S = 1.5;
/* Recorded tasks on a machine that neither speaks nor is listed: by then it would have reported. */
static const double UNKNOWN_S = 12;
/* A machine that reports but answers no command for so long is unresponsive. */
static const double UNRESPONSIVE_S = 10;
/* How long a machine that failed a job is kept from it, and from everybody until another job tells which of
   the two is at fault. */
static const double BAD_S = 60, SUSPECT_S = 20;
/* A replica that has run for so long shows that its job is sound. */
static const double PROVEN_S = 20;
enum { ERRORS_TO_QUARANTINE = 2, RUN_FAILURES = 3, UNRESPONSIVE_FEW = 2, SILENT_FEW = 3 };

/* Proof by time: a worker ends its tasks when lease_s has passed since it sent the last report that was
   answered. Only answers of ours count once it has seen our token: no older one is accepted. And that report
   was sent before the newest message came that we have of the session: late copies renew nothing. */
static void prove_by_lease(struct ow_leader *leader, struct ow_machine *m)
{
    double lease = leader->controller->settings->lease_s * (1 + DRIFT) + MARGIN_S;
    double last = MAX(m->last_message_at, m->fenced_at);
    if (!m->fenced || m->session <= m->dead_session || leader->controller->now < last + lease)
        return;
    g_info("machine %s: session %" G_GUINT64_FORMAT " has run out unanswered", m->name, m->session);
    m->dead_session = m->session;
    while (m->attempts->len > 0)
        ow_attempt_end(leader, g_ptr_array_index(m->attempts, 0), OW_CAUSE_NONE,
                       "its machine's lease has run out");
}

static bool overdue(const struct ow_leader *leader, const struct ow_machine *m)
{
    const struct ow_machine_type *type = ow_machine_spec(leader, m);
    double boot = type != NULL ? type->boot_s : 60;
    return m->last_message_at == 0 && leader->controller->now - m->rented_at > 3 * boot + 20;
}

/* A machine that sends nothing: deleting it is proof at once, and ends the rent. */
static void delete_if_silent(struct ow_leader *leader, struct ow_machine *m)
{
    double now = leader->controller->now;
    double since = MAX(m->last_message_at, leader->ready_at);
    if (m->listed == OW_LISTED_FAILED)
        ow_fleet_delete(leader, m, "it has failed");
    else if (m->reclaimed_at > 0 && now > m->reclaimed_at && now - since > 3)
        ow_fleet_delete(leader, m, "it was taken back");
    else if (m->last_message_at == 0 && m->listed == OW_LISTED_NOT && m->attempts->len > 0 &&
             now - since > UNKNOWN_S)
        ow_fleet_delete(leader, m, "its tasks are recorded, but nothing is heard or known of it");
    else if (overdue(leader, m) && now - leader->ready_at > 30)
        ow_fleet_delete(leader, m, "it does not come up");
    else if (m->last_message_at != 0 && now - MAX(MAX(m->last_report_at, m->met_at), leader->ready_at) >
                                            3 * leader->controller->settings->lease_s)
        ow_fleet_delete(leader, m, "it has been silent for too long");
}

/* Seconds since the machine should have answered. */
static double unresponsive_s(const struct ow_leader *leader, const struct ow_machine *m)
{
    if (!m->fenced)
        return m->last_message_at > 0 || m->attempts->len > 0
                   ? leader->controller->now - MAX(m->met_at, leader->ready_at)
                   : 0;
    return m->unanswered_since > 0 ? leader->controller->now - m->unanswered_since : 0;
}

/* A machine that is unresponsive, whether or not it reports: reports alone are no sign of health. Its tasks
   have ended with its lease, unless an older leader feeds it: waiting gains nothing. */
static void delete_if_unresponsive(struct ow_leader *leader, struct ow_machine *m)
{
    double unresponsive = unresponsive_s(leader, m), lease = leader->controller->settings->lease_s;
    if (unresponsive > (m->attempts->len > 0 ? lease + 5 : 3 * lease))
        ow_fleet_delete(leader, m, "it does not answer commands, and its tasks can't be accounted for");
    else if (m->fenced && unresponsive > UNRESPONSIVE_S && ow_machine_heard_recently(leader, m))
        ow_fleet_delete(leader, m, "it reports but does not answer commands");
}

static bool has_replicas(const struct ow_machine *m)
{
    for (guint i = 0; i < m->attempts->len; i++)
        if (ow_run_is_service(((const struct ow_attempt *)g_ptr_array_index(m->attempts, i))->job->run))
            return true;
    return false;
}

static bool fallen_silent(const struct ow_leader *leader, const struct ow_machine *m)
{
    return m->fenced && m->last_message_at > 0 && !ow_machine_heard_recently(leader, m);
}

/* A machine that alone has fallen silent has hardly been cut off: its replicas serve nobody, and a deletion
   proves them gone long before its lease does. Where many are silent at once they may serve on behind a cut
   that heals. */
static bool few_silent(const struct ow_leader *leader)
{
    unsigned silent = 0;
    for (guint i = 0; i < leader->machines->len; i++)
        silent += fallen_silent(leader, g_ptr_array_index(leader->machines, i)) ? 1 : 0;
    return silent <= SILENT_FEW;
}

static void delete_for_replicas(struct ow_leader *leader, struct ow_machine *m)
{
    if (fallen_silent(leader, m) && m->unanswered_since > 0 && has_replicas(m) &&
        leader->controller->now - leader->ready_at > 2.5 * leader->controller->settings->report_s)
        ow_fleet_delete(leader, m, "it is silent, and services miss their replicas");
}

/* Where many machines are unresponsive the fault is hardly theirs. */
static bool few_unresponsive(const struct ow_leader *leader)
{
    unsigned unresponsive = 0;
    for (guint i = 0; i < leader->machines->len; i++)
        unresponsive += unresponsive_s(leader, g_ptr_array_index(leader->machines, i)) > 5 ? 1 : 0;
    return unresponsive <= UNRESPONSIVE_FEW || unresponsive <= leader->machines->len / 4;
}

/* Rule 7: what could still run of a cancelled job is ended by returning its machine, if nothing else works.
 */
static void enforce_cancellations(struct ow_leader *leader, struct ow_machine *m)
{
    double now = leader->controller->now;
    for (guint i = 0; i < m->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(m->attempts, i);
        if (!at->stop || at->job->state != OW_JOB_CANCELLED)
            continue;
        double waited = now - at->stop_at;
        if (waited > 1 && !m->direct_busy)
            m->direct_wanted = true;
        if (waited > 0.5 * leader->controller->settings->cancel_s) {
            ow_fleet_delete(leader, m, "a cancelled task can't be ended otherwise");
            return;
        }
    }
}

static void drain_noticed(struct ow_leader *leader, struct ow_machine *m)
{
    double left = m->reclaimed_at - leader->controller->now;
    for (guint i = m->attempts->len; i > 0; i--) {
        if (i > m->attempts->len)
            continue;
        struct ow_attempt *at = g_ptr_array_index(m->attempts, i - 1);
        const struct ow_submission *s = at->job->spec->submission;
        if (s->kind == OW_KIND_SERVICE || s->checkpoint_s <= 0 || left < s->save_s + 1 || at->stop)
            continue;
        double grace = MIN(left, s->save_s + 2);
        if (s->gang)
            ow_run_stop(leader, at->job->run, grace, "its machine is taken back");
        else
            ow_attempt_stop(leader, at, grace, "its machine is taken back");
    }
}

void ow_machine_health_tick(struct ow_leader *leader)
{
    bool may_blame = few_unresponsive(leader), may_fear = few_silent(leader);
    ow_service_replicas_relocate(leader);
    for (guint i = leader->machines->len; i > 0; i--) {
        if (i > leader->machines->len)
            continue;
        struct ow_machine *m = g_ptr_array_index(leader->machines, i - 1);
        prove_by_lease(leader, m);
        if (m->reclaimed_at > 0)
            drain_noticed(leader, m);
        /* Recorded tasks on a machine not yet fenced, or commands that went unanswered: try its own address.
         */
        if ((!m->fenced || m->unanswered_since > 0 || (fallen_silent(leader, m) && has_replicas(m))) &&
            m->addr != NULL && m->listed != OW_LISTED_BOOTING)
            m->direct_wanted = true;
        /* A faulty machine is given back; a sound one is rented in its place if it is missed. */
        if (leader->controller->now < m->quarantine_until && m->attempts->len == 0)
            ow_fleet_delete(leader, m, "it is faulty");
        enforce_cancellations(leader, m);
        delete_if_silent(leader, m);
        if (may_fear)
            delete_for_replicas(leader, m);
        if (may_blame)
            delete_if_unresponsive(leader, m);
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

void ow_machine_health_avoid(struct ow_leader *leader, struct ow_machine *m, struct ow_run *run)
{
    /* For a while only: a job must not run out of machines because each of them failed it once. */
    if (leader->controller->now > run->bad_until)
        g_hash_table_remove_all(run->bad_machines);
    run->bad_until = leader->controller->now + BAD_S;
    g_hash_table_add(run->bad_machines, m);
}

/* Whether a replica of the service has served for a while: the job is sound, and what fails is the machines.
 */
static bool is_proven(const struct ow_leader *leader, const struct ow_run *run)
{
    for (guint i = 0; ow_run_is_service(run) && i < run->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(run->attempts, i);
        if (at->running_at > 0 && leader->controller->now - at->running_at > PROVEN_S)
            return true;
    }
    return false;
}

void ow_machine_health_error(struct ow_leader *leader, struct ow_machine *m, struct ow_run *run)
{
    double now = leader->controller->now;
    ow_machine_health_avoid(leader, m, run);
    /* A service that otherwise serves has no result that would forgive its failures: without this they would
       add up as long as it lives, and its replicas wait ever longer. */
    bool proven = is_proven(leader, run);
    if (proven)
        run->failures = 0;
    run->failures = MIN(run->failures + 1, 1000);
    guint bad = g_hash_table_size(run->bad_machines);
    if (bad >= RUN_FAILURES) {
        /* It fails wherever it goes: the job is at fault, not the machines. */
        double pause = MIN(60, 5 << MIN(run->failures / 4, 4));
        if (run->ready_at < now + 1)
            g_info("job %s fails on %u machines: paused for %.0f s", run->job->id, bad, pause);
        run->ready_at = MAX(run->ready_at, now + pause);
        /* Of a proven service the machines are at fault: it must not go back to them at once. */
        if (!proven) {
            clear_suspicion(run);
            g_hash_table_remove_all(run->bad_machines);
            return;
        }
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
