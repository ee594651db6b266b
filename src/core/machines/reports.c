/* What workers report, and what it proves. */
#include "core/machines/reports.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/records/recorder.h"
#include "core/run.h"

#include <string.h>

static struct ow_attempt *find_attempt(struct ow_machine *m, const struct ow_job *job,
                                       const struct ow_task_report *t)
{
    if (job == NULL || job->run == NULL || t->task >= job->run->count)
        return NULL;
    struct ow_attempt *at = job->run->tasks[t->task].attempt;
    return at != NULL && at->machine == m && at->number == t->attempt && at->session == m->session ? at
                                                                                                   : NULL;
}

static void add_command(GArray *commands, enum ow_worker_command_kind kind, const struct ow_task_report *t)
{
    if (commands == NULL)
        return;
    struct ow_worker_command o = {.kind = kind, .task = t->task, .attempt = t->attempt, .grace_s = 0};
    g_strlcpy(o.job, t->job, sizeof o.job);
    g_array_append_val(commands, o);
}

static bool result_recorded(const struct ow_job *job, uint32_t task)
{
    if (ow_job_over(job))
        return true;
    /* The final record takes the place of the chunks, and is not there yet. */
    if (job->run->finishing)
        return false;
    const struct ow_chunk *chunk = ow_run_chunk(job->run, task);
    return job->run->tasks[task].done && !chunk->dirty && !chunk->writing;
}

/* Rule 3: an ended task is cleared only when nothing can deliver its launch again, and a result only
   after it has been recorded. While the job goes on, an attempt that ended in any other way stays known
   to the worker: a late copy of its launch then finds it there and does nothing. */
static void clear_ended(struct ow_machine *m, const struct ow_job *job, const struct ow_task_report *t,
                        GArray *commands)
{
    if (job == NULL || ow_machine_has_unacknowledged_launch(m, job, t->task, t->attempt))
        return;
    bool known = job->run != NULL && t->task < job->run->count;
    if (ow_job_over(job) || (known && t->cause == OW_CAUSE_DONE && result_recorded(job, t->task)))
        add_command(commands, OW_WORKER_CLEAR, t);
}

/* A task that no record of ours accounts for: a copy of an old launch. */
static void take_stray(struct ow_leader *leader, struct ow_machine *m, struct ow_job *job,
                       const struct ow_task_report *t, GArray *commands)
{
    if (t->phase == OW_PHASE_EXITED) {
        /* A result counts even if its attempt was given up for lost. */
        if (t->cause == OW_CAUSE_DONE && job != NULL && job->run != NULL && !ow_run_is_service(job->run) &&
            t->task < job->run->count && !ow_job_over(job) && !job->run->tasks[t->task].done &&
            job->run->tasks[t->task].attempt == NULL) {
            job->run->tasks[t->task].done = true;
            job->run->done++;
            ow_recorder_chunk(leader, job->run, t->task, false);
        }
        clear_ended(m, job, t, commands);
        return;
    }
    const struct ow_spec *spec = job != NULL ? job->spec : NULL;
    const struct ow_machine_type *type = ow_machine_spec(leader, m);
    const struct ow_amounts *need = spec != NULL   ? &spec->submission->need
                                    : type != NULL ? &type->size
                                                   : NULL;
    if (need != NULL)
        ow_amounts_add(&m->unknown_tasks_use, need, 1);
    g_info("task %s/%u attempt %" G_GUINT64_FORMAT " on %s is unaccounted for and is stopped", t->job,
           t->task, t->attempt, m->name);
    add_command(commands, OW_WORKER_STOP, t);
}

static void take_phase(struct ow_leader *leader, struct ow_attempt *at, enum ow_phase phase)
{
    struct ow_run *run = at->job->run;
    bool was_running = at->state == OW_ATTEMPT_SEEN && at->phase == OW_PHASE_RUNNING;
    if (at->state == OW_ATTEMPT_SENT)
        at->machine->unanswered_since = 0; /* the command was heard, by whichever way it came */
    at->state = OW_ATTEMPT_SEEN;
    at->phase = phase;
    run->running += (phase == OW_PHASE_RUNNING ? 1 : 0) - (was_running ? 1 : 0);
    if (phase == OW_PHASE_RUNNING && at->running_at == 0)
        at->running_at = leader->controller->now;
    ow_machine_image_use(leader, at->machine, at->job->spec, phase != OW_PHASE_FETCHING);
}

static void take_task(struct ow_leader *leader, struct ow_machine *m, const struct ow_task_report *t,
                      GArray *commands)
{
    struct ow_job *job = ow_jobs_find(leader->controller->jobs, t->job);
    struct ow_attempt *at = find_attempt(m, job, t);
    if (at == NULL) {
        take_stray(leader, m, job, t, commands);
        return;
    }
    at->report_generation = m->report_generation;
    if (t->phase != OW_PHASE_EXITED) {
        take_phase(leader, at, t->phase);
        return;
    }
    if (t->cause == OW_CAUSE_DONE)
        ow_machine_image_use(leader, m, job->spec, true);
    else
        g_info("task %s/%u on %s ended: cause %d%s", t->job, t->task, m->name, t->cause,
               t->saved ? ", saved" : "");
    ow_attempt_end(leader, at, t->cause, "reported as ended");
    clear_ended(m, job, t, commands);
}

static void take_absent(struct ow_leader *leader, struct ow_machine *m)
{
    for (guint i = m->attempts->len; i > 0; i--) {
        if (i > m->attempts->len)
            continue;
        struct ow_attempt *at = g_ptr_array_index(m->attempts, i - 1);
        if (at->report_generation == m->report_generation || at->session != m->session)
            continue;
        /* An older leader's launch can't come true any more: the worker has seen our token.
           Our own may still be on its way; it is sent again until it shows. */
        if (at->state == OW_ATTEMPT_INHERITED)
            ow_attempt_end(leader, at, OW_CAUSE_NONE, "not on its machine under the new token");
        else if (at->state == OW_ATTEMPT_SEEN) {
            if (at->phase == OW_PHASE_RUNNING)
                at->job->run->running--;
            at->state = OW_ATTEMPT_SENT;
        }
    }
}

static void begin_session(struct ow_machine *m, uint64_t session)
{
    m->session = session;
    m->seq = 0;
    m->dead_session = MAX(m->dead_session, session - 1);
    g_array_set_size(m->unacknowledged_launches, 0);
}

static void end_older_sessions(struct ow_leader *leader, struct ow_machine *m)
{
    for (guint i = m->attempts->len; i > 0; i--) {
        if (i > m->attempts->len)
            continue;
        struct ow_attempt *at = g_ptr_array_index(m->attempts, i - 1);
        if (at->session < m->session)
            ow_attempt_end(leader, at, OW_CAUSE_NONE, "its machine has begun a new session");
    }
}

static void take_notice(struct ow_leader *leader, struct ow_machine *m, double notice_s)
{
    if (notice_s < 0) {
        m->reclaimed_at = 0;
        return;
    }
    if (m->reclaimed_at == 0)
        g_info("machine %s is taken back by the cloud in %.1f s", m->name, notice_s);
    m->reclaimed_at = leader->controller->now + notice_s;
}

/* What a report says of its machine whoever has been obeyed there. A session that has ended took its tasks
   along, whichever token the worker has seen: attempts are recorded with the session that they were meant
   for. */
static void take_session(struct ow_leader *leader, struct ow_machine *m, const struct ow_report *report)
{
    if (report->session > m->session)
        begin_session(m, report->session);
    /* Also in a session that records have named before: others may name older ones. */
    end_older_sessions(leader, m);
    m->listed = OW_LISTED_RUNNING;
    m->last_message_at = leader->controller->now;
    m->seq = report->seq;
}

static void take_fence(struct ow_leader *leader, struct ow_machine *m)
{
    m->fenced = true;
    m->fenced_at = m->idle_since = leader->controller->now;
    m->unanswered_since = 0;
    leader->pass.due = true;
    g_info("machine %s reports, session %" G_GUINT64_FORMAT, m->name, m->session);
}

GArray *ow_reports_cancelled(const struct ow_leader *leader, const struct ow_report *report)
{
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    for (guint i = 0; i < report->tasks->len; i++) {
        const struct ow_task_report *t = &g_array_index(report->tasks, struct ow_task_report, i);
        const struct ow_job *job = ow_jobs_find(leader->controller->jobs, t->job);
        if (job != NULL && job->state == OW_JOB_CANCELLED && t->phase != OW_PHASE_EXITED)
            add_command(commands, OW_WORKER_STOP, t);
    }
    return commands;
}

struct ow_machine *ow_reports_receive(struct ow_leader *leader, const struct ow_report *report,
                                      GArray *commands)
{
    /* A copy of an old report must not bring a deleted machine back. */
    if (g_hash_table_contains(leader->deletions.names, report->machine))
        return NULL;
    struct ow_machine *m = ow_machines_find_or_add(leader, report->machine);
    /* A late copy says nothing about now, renews nothing, and a session proven over is over. */
    if (report->session < m->session || (report->session == m->session && report->seq <= m->seq) ||
        report->session <= m->dead_session)
        return m;
    ow_machine_describe(leader, m, report->addr, report->type, report->zone, report->spot);
    take_session(leader, m, report);
    if (report->token != leader->token || leader->phase != OW_LEADER_READY) {
        /* Until it has seen our token an older leader may still change what it says. */
        m->direct_wanted = m->direct_wanted || leader->phase == OW_LEADER_READY;
        return m;
    }
    if (!m->fenced)
        take_fence(leader, m);
    m->report_generation = ++leader->report_generation;
    m->unknown_tasks_use = (struct ow_amounts){0};
    take_notice(leader, m, report->notice_s);
    for (guint i = 0; i < report->tasks->len; i++)
        take_task(leader, m, &g_array_index(report->tasks, struct ow_task_report, i), commands);
    take_absent(leader, m);
    return m;
}
