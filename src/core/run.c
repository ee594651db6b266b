/* Runs of jobs, their attempts, and what teams use. */
#include "core/run.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_health.h"
#include "core/records/record_values.h"
#include "core/records/recorder.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/reservation.h"

#include <string.h>

/* Weight of the newest run in a machine's slowness, and the most that one may say. */
static const double SPEED_NEWEST = 0.1, SPEED_MOST = 6;

/* An entitled team waits for room to come free by itself for this share of what its aims leave, before
   others are stopped for it: stopped work is lost work. */
static const double CLAIM_SHARE = 0.6;

struct ow_amounts *ow_team_used(struct ow_leader *leader, int team)
{
    guint wanted = (guint)team + 1;
    if (wanted > leader->teams.count) {
        leader->teams.used = g_renew(struct ow_amounts, leader->teams.used, wanted);
        memset(leader->teams.used + leader->teams.count, 0,
               (wanted - leader->teams.count) * sizeof *leader->teams.used);
        leader->teams.count = wanted;
    }
    return &leader->teams.used[team];
}

static uint32_t admits(double limit, double used, double need, uint32_t wanted)
{
    if (limit <= 0 || need <= 0)
        return wanted;
    double left = (limit - used + 1e-6) / need;
    return left <= 0 ? 0 : (uint32_t)MIN((double)wanted, left);
}

const struct ow_team_settings *ow_team_settings_of(const struct ow_leader *leader, int team)
{
    const char *name = ow_names_text(leader->controller->names.teams, team);
    const GArray *teams = leader->controller->settings->teams;
    for (guint i = 0; i < teams->len; i++) {
        const struct ow_team_settings *t = &g_array_index(teams, struct ow_team_settings, i);
        if (strcmp(t->name, name) == 0)
            return t;
    }
    return NULL;
}

uint32_t ow_team_admits(struct ow_leader *leader, const struct ow_spec *spec, uint32_t wanted)
{
    const struct ow_amounts *used = ow_team_used(leader, spec->team);
    const struct ow_amounts *need = &spec->submission->need;
    const struct ow_team_settings *t = ow_team_settings_of(leader, spec->team);
    if (t == NULL)
        return 0;
    wanted = admits(t->cpus_max, used->cpus, need->cpus, wanted);
    return admits(t->gpus_max, used->gpus, need->gpus, wanted);
}

/* A resource of which a team is guaranteed none is left out of the reckoning. */
static bool beyond(double guarantee, double amount)
{
    return guarantee > 0 && amount > guarantee + 1e-6;
}

bool ow_team_guarantees(const struct ow_leader *leader, int team, const struct ow_amounts *amounts)
{
    const struct ow_team_settings *t = ow_team_settings_of(leader, team);
    bool some = t != NULL && ((t->gpus > 0 && amounts->gpus > 0) || (t->cpus > 0 && amounts->cpus > 0));
    return some && !beyond(t->gpus, amounts->gpus) && !beyond(t->cpus, amounts->cpus);
}

bool ow_team_covers(const struct ow_leader *leader, int team, const struct ow_amounts *need)
{
    const struct ow_team_settings *t = ow_team_settings_of(leader, team);
    return t != NULL && ((t->gpus > 0 && need->gpus > 0) || (t->cpus > 0 && need->cpus > 0));
}

bool ow_team_entitled(const struct ow_leader *leader, int team)
{
    struct ow_amounts claims = {0};
    for (guint i = 0; i < leader->runs->len; i++) {
        const struct ow_run *run = g_ptr_array_index(leader->runs, i);
        if (run->job->spec->team == team && !ow_job_over(run->job))
            ow_amounts_add(&claims, &run->job->spec->submission->need, run->count - run->done);
    }
    return ow_team_guarantees(leader, team, &claims);
}

bool ow_team_borrows(struct ow_leader *leader, int team)
{
    const struct ow_team_settings *t = ow_team_settings_of(leader, team);
    const struct ow_amounts *used = ow_team_used(leader, team);
    return t != NULL && (beyond(t->gpus, used->gpus) || beyond(t->cpus, used->cpus));
}

bool ow_run_claims(const struct ow_leader *leader, const struct ow_run *run)
{
    const struct ow_spec *spec = run->job->spec;
    double patience = CLAIM_SHARE * ow_class_slack_s(leader->controller, spec->class_index);
    return leader->teams.entitled[spec->team] &&
           ow_team_covers(leader, spec->team, &spec->submission->need) &&
           leader->controller->now - run->accepted_at > patience;
}

void ow_run_divide(struct ow_run *run, uint32_t chunk_tasks)
{
    g_free(run->chunks);
    run->chunk_tasks = chunk_tasks;
    run->chunk_count = (run->count + chunk_tasks - 1) / chunk_tasks;
    run->chunks = g_new0(struct ow_chunk, run->chunk_count);
    for (uint32_t i = 0; i < run->chunk_count; i++)
        run->chunks[i] = (struct ow_chunk){.job = run->job, .index = i};
}

struct ow_run *ow_run_find_or_add(struct ow_leader *leader, struct ow_job *job)
{
    if (job->run != NULL)
        return job->run;
    struct ow_run *run = g_new0(struct ow_run, 1);
    run->job = job;
    run->accepted_at = job->accepted_at;
    run->count = job->spec->submission->tasks;
    run->tasks = g_new0(struct ow_task, run->count);
    run->attempts = g_ptr_array_new();
    ow_run_divide(run, ow_record_values_chunk_tasks(leader));
    run->bad_machines = g_hash_table_new(NULL, NULL);
    ow_class_observe_job(leader->controller, job->spec);
    job->run = run;
    g_ptr_array_add(leader->runs, run);
    leader->pass.due = true;
    return run;
}

void ow_run_drop(struct ow_leader *leader, struct ow_run *run)
{
    struct ow_job *job = run->job;
    ow_recorder_forget(leader, run);
    ow_reservation_free(run->reservation);
    for (guint i = run->attempts->len; i > 0; i--)
        ow_attempt_unload(leader, g_ptr_array_index(run->attempts, i - 1));
    g_ptr_array_free(run->attempts, TRUE);
    g_hash_table_destroy(run->bad_machines);
    g_free(run->chunks);
    g_free(run->tasks);
    g_ptr_array_remove_fast(leader->runs, run);
    g_free(run);
    job->run = NULL;
}

struct ow_attempt *ow_attempt_new(struct ow_leader *leader, struct ow_run *run, uint32_t task,
                                  uint64_t number, struct ow_machine *machine, uint64_t session)
{
    struct ow_attempt *at = g_new0(struct ow_attempt, 1);
    const struct ow_amounts *need = &run->job->spec->submission->need;
    at->job = run->job;
    at->task = task;
    at->number = number;
    at->machine = machine;
    at->session = session;
    at->placed_at = leader->controller->now;
    run->tasks[task].attempt = at;
    g_ptr_array_add(run->attempts, at);
    g_ptr_array_add(machine->attempts, at);
    ow_amounts_add(&machine->used, need, 1);
    ow_amounts_add(&machine->used_by[run->job->spec->submission->rank], need, 1);
    ow_amounts_add(ow_team_used(leader, run->job->spec->team), need, 1);
    return at;
}

static void detach(struct ow_leader *leader, struct ow_attempt *at)
{
    struct ow_run *run = at->job->run;
    struct ow_machine *m = at->machine;
    const struct ow_amounts *need = &at->job->spec->submission->need;
    g_ptr_array_remove_fast(run->attempts, at);
    g_ptr_array_remove_fast(m->attempts, at);
    ow_amounts_add(&m->used, need, -1);
    ow_amounts_add(&m->used_by[at->job->spec->submission->rank], need, -1);
    if (at->stop)
        ow_amounts_add(&m->stopping, need, -1);
    ow_amounts_add(ow_team_used(leader, at->job->spec->team), need, -1);
    if (m->attempts->len == 0) {
        m->used = m->stopping = (struct ow_amounts){0}; /* sums of fractions drift */
        memset(m->used_by, 0, sizeof m->used_by);
        m->idle_since = leader->controller->now;
    }
    if (at->state == OW_ATTEMPT_SEEN && at->phase == OW_PHASE_RUNNING)
        run->running--;
    run->tasks[at->task].attempt = NULL;
    run->cursor = MIN(run->cursor, at->task);
}

void ow_attempt_unload(struct ow_leader *leader, struct ow_attempt *at)
{
    detach(leader, at);
    g_free(at);
}

static void mark_done(struct ow_run *run, uint32_t task)
{
    if (run->tasks[task].done)
        return;
    run->tasks[task].done = true;
    run->done++;
}

/* The tasks of a gang complete together: one result is everybody's. */
static void take_result(struct ow_leader *leader, struct ow_run *run, uint32_t task)
{
    mark_done(run, task);
    run->failures = 0;
    if (!run->job->spec->submission->gang)
        return;
    for (uint32_t i = 0; i < run->count; i++) {
        mark_done(run, i);
        ow_recorder_chunk(leader, run, i, false);
    }
}

/* What a finished task tells of its class and of its machine. */
static void learn_speed(struct ow_leader *leader, const struct ow_attempt *at)
{
    const struct ow_spec *spec = at->job->spec;
    double ran = leader->controller->now - at->running_at,
           expected = ow_class_run_s(leader->controller, spec);
    /* A gang is as fast as its slowest machine, which need not be this one. */
    if (expected > 0 && !spec->submission->gang)
        at->machine->slowness += SPEED_NEWEST * (MIN(ran / expected, SPEED_MOST) - at->machine->slowness);
    ow_class_observe_run(leader->controller, spec, ran);
}

void ow_attempt_end(struct ow_leader *leader, struct ow_attempt *at, enum ow_cause cause, const char *proof)
{
    struct ow_run *run = at->job->run;
    uint32_t task = at->task;
    struct ow_machine *m = at->machine;
    g_debug("task %s/%u attempt %" G_GUINT64_FORMAT " on %s is gone: %s", at->job->id, task, at->number,
            m->name, proof);
    bool stopped = at->stop;
    if (cause == OW_CAUSE_DONE && at->running_at > 0 && !ow_run_is_service(run))
        learn_speed(leader, at);
    detach(leader, at);
    g_free(at);
    leader->pass.due = true;
    ow_recorder_chunk(leader, run, task, false);
    if (cause == OW_CAUSE_DONE && ow_run_is_service(run)) {
        /* Its machine keeps the result and would end it again: it goes elsewhere. */
        ow_machine_health_avoid(leader, m, run);
        return;
    }
    if (cause == OW_CAUSE_DONE) {
        m->errors = 0;
        m->suspect_until = 0;
        m->failed_job = NULL;
        take_result(leader, run, task);
        return;
    }
    if (cause == OW_CAUSE_ERROR)
        ow_machine_health_error(leader, m, run);
    if (cause == OW_CAUSE_UNKNOWN || cause == OW_CAUSE_FULL || cause == OW_CAUSE_BUSY)
        run->ready_at = MAX(run->ready_at, leader->controller->now + 1);
    /* One that is gone, or refused, ends the gang's attempt: the others would wait or fail, too. */
    if (run->job->spec->submission->gang && !stopped && !run->tasks[task].done)
        ow_run_stop(leader, run, 0, "another task of the gang is gone");
}

void ow_attempt_stop(struct ow_leader *leader, struct ow_attempt *at, double grace_s, const char *why)
{
    if (at->stop && at->stop_grace_s <= grace_s)
        return;
    if (!at->stop)
        g_info("task %s/%u on %s is stopped, grace %.1f s: %s", at->job->id, at->task, at->machine->name,
               grace_s, why);
    if (!at->stop)
        ow_amounts_add(&at->machine->stopping, &at->job->spec->submission->need, 1);
    at->stop = true;
    at->stop_grace_s = grace_s;
    at->stop_at = leader->controller->now;
    if (at->state == OW_ATTEMPT_PLANNED || at->state == OW_ATTEMPT_COMMITTED)
        ow_attempt_end(leader, at, OW_CAUSE_STOPPED, "no launch has left");
    else
        at->machine->direct_wanted = true;
}

void ow_run_stop(struct ow_leader *leader, struct ow_run *run, double grace_s, const char *why)
{
    for (guint i = run->attempts->len; i > 0; i--)
        if (i <= run->attempts->len)
            ow_attempt_stop(leader, g_ptr_array_index(run->attempts, i - 1), grace_s, why);
}

uint64_t ow_run_next_attempt(const struct ow_run *run)
{
    uint64_t number = 0;
    for (uint32_t c = 0; c < run->chunk_count; c++)
        number = MAX(number, run->chunks[c].last_attempt + 1);
    return number;
}

uint32_t ow_run_pending(const struct ow_run *run)
{
    if (ow_job_over(run->job))
        return 0;
    uint32_t live = 0;
    for (guint i = 0; i < run->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(run->attempts, i);
        live += run->tasks[at->task].done ? 0 : 1;
    }
    return run->count - run->done - live;
}
