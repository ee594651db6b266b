/* The fake world's machines and their workers, who know every rule. */
#include "world_parts.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static const double FETCH_S = 0.5;

struct late_direct {
    char machine[32];
    uint64_t token, session;
    GArray *commands;
};

void world_workers_init(struct world *w)
{
    w->machines = g_ptr_array_new();
    w->machines_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    w->started_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    w->late = g_array_new(FALSE, FALSE, sizeof(struct late_direct));
}

void world_workers_clear(struct world *w)
{
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *m = g_ptr_array_index(w->machines, i);
        g_array_free(m->tasks, TRUE);
        g_free(m);
    }
    for (guint i = 0; i < w->late->len; i++)
        g_array_free(g_array_index(w->late, struct late_direct, i).commands, TRUE);
    g_array_free(w->late, TRUE);
    g_hash_table_destroy(w->machines_by_name);
    g_hash_table_destroy(w->started_on);
    g_ptr_array_free(w->machines, TRUE);
}

struct world_machine *world_machine(struct world *w, const char *name)
{
    return g_hash_table_lookup(w->machines_by_name, name);
}

struct world_machine *world_add_machine(struct world *w, const char *name, const char *type, const char *zone,
                                        bool spot)
{
    struct world_machine *m = g_new0(struct world_machine, 1);
    g_strlcpy(m->name, name, sizeof m->name);
    g_snprintf(m->addr, sizeof m->addr, "%s:9000", name);
    g_strlcpy(m->type, type, sizeof m->type);
    g_strlcpy(m->zone, zone, sizeof m->zone);
    m->spot = spot;
    m->session = 1;
    m->notice_s = -1;
    m->only_controller = -1;
    m->up_at = m->renewed_at = m->report_at = w->now;
    m->tasks = g_array_new(FALSE, TRUE, sizeof(struct world_task));
    g_ptr_array_add(w->machines, m);
    g_hash_table_insert(w->machines_by_name, m->name, m);
    g_hash_table_insert(w->machines_by_name, m->addr, m);
    return m;
}

struct ow_report *world_make_report(struct world_machine *m)
{
    struct ow_report *r = g_new0(struct ow_report, 1);
    r->machine = g_strdup(m->name);
    r->addr = g_strdup(m->addr);
    r->type = g_strdup(m->type);
    r->zone = g_strdup(m->zone);
    r->spot = m->spot;
    r->session = m->session;
    r->seq = ++m->seq;
    r->token = m->token;
    r->notice_s = m->notice_s;
    r->tasks = g_array_new(FALSE, TRUE, sizeof(struct ow_task_report));
    for (guint i = 0; i < m->tasks->len; i++) {
        const struct world_task *t = &g_array_index(m->tasks, struct world_task, i);
        struct ow_task_report tr = {
            .task = t->task, .attempt = t->attempt, .phase = t->phase, .cause = t->cause, .saved = t->saved};
        g_strlcpy(tr.job, t->job, sizeof tr.job);
        g_array_append_val(r->tasks, tr);
    }
    return r;
}

static struct world_task *find_task(struct world_machine *m, const struct ow_worker_command *o)
{
    for (guint i = 0; i < m->tasks->len; i++) {
        struct world_task *t = &g_array_index(m->tasks, struct world_task, i);
        if (t->task == o->task && t->attempt == o->attempt && strcmp(t->job, o->job) == 0)
            return t;
    }
    return NULL;
}

/* A task may only be on the machine where it was started last; elsewhere it would have been told before. */
static void check_twice(struct world *w, struct world_machine *here, const struct ow_worker_command *o)
{
    char *name = g_strdup_printf("%s/%u", o->job, o->task);
    const struct world_machine *m = g_hash_table_lookup(w->started_on, name);
    for (guint k = 0; m != NULL && m != here && !m->gone && k < m->tasks->len; k++) {
        const struct world_task *t = &g_array_index(m->tasks, struct world_task, k);
        if (t->phase != OW_PHASE_EXITED && t->task == o->task && strcmp(t->job, o->job) == 0)
            g_string_append_printf(w->broken, "%s runs twice, on %s and %s; ", name, m->name, here->name);
    }
    g_hash_table_replace(w->started_on, name, here);
}

/* Nothing of a job may start once its user has heard that it is over, however it ended. */
static void check_over(struct world *w, const char *job)
{
    const struct world_announcement *announcement = g_hash_table_lookup(w->announced, job);
    if (announcement != NULL)
        g_string_append_printf(w->broken, "%s was told %s and is started; ", job,
                               announcement->state == OW_JOB_DONE ? "done" : "cancelled");
}

/* Whether nothing gets through between the two, either way. */
static bool apart(const struct world *w, const struct world_machine *m, int controller)
{
    return m->cut || controller == w->lonely_controller ||
           (m->only_controller >= 0 && controller != m->only_controller);
}

static const struct world_wish *wish_of(struct world *w, const char *job)
{
    return g_hash_table_lookup(w->wishes, job);
}

/* Calls `take` for every task that is on a machine. */
static void each_task(struct world *w,
                      void (*take)(struct world *w, const struct world_machine *m, const struct world_task *t,
                                   void *sum),
                      void *sum)
{
    for (guint i = 0; i < w->machines->len; i++) {
        const struct world_machine *m = g_ptr_array_index(w->machines, i);
        for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
            const struct world_task *t = &g_array_index(m->tasks, struct world_task, k);
            if (t->phase != OW_PHASE_EXITED)
                take(w, m, t, sum);
        }
    }
}

struct use {
    const char *team;
    double cpus;
};

static void add_use(struct world *w, const struct world_machine *m, const struct world_task *t, void *sum)
{
    const struct world_wish *wish = wish_of(w, t->job);
    struct use *use = sum;
    (void)m;
    if (wish != NULL && strcmp(wish->team, use->team) == 0)
        use->cpus += wish->cpus;
}

/* Limits from the machines' side: whatever the controllers think is there, this is. */
static void check_limit(struct world *w, const char *job)
{
    const struct world_wish *wish = wish_of(w, job);
    for (guint i = 0; wish != NULL && i < w->settings[0].teams->len; i++) {
        const struct ow_team_settings *t = &g_array_index(w->settings[0].teams, struct ow_team_settings, i);
        struct use use = {wish->team, 0};
        if (strcmp(t->name, wish->team) != 0 || t->cpus_max <= 0)
            continue;
        each_task(w, add_use, &use);
        if (use.cpus > t->cpus_max + 1e-6)
            g_string_append_printf(w->broken, "team %s uses %g of %g with %s; ", use.team, use.cpus,
                                   t->cpus_max, job);
    }
}

struct place {
    const char *job;
    const struct world_machine *here;
    uint32_t in_zone, elsewhere;
};

static void add_place(struct world *w, const struct world_machine *m, const struct world_task *t, void *sum)
{
    struct place *place = sum;
    (void)w;
    if (strcmp(t->job, place->job) != 0)
        return;
    if (strcmp(m->zone, place->here->zone) == 0)
        place->in_zone++;
    else
        place->elsewhere++;
}

static void check_place(struct world *w, const struct world_machine *m, const char *job)
{
    const struct world_wish *wish = wish_of(w, job);
    struct place place = {job, m, 0, 0};
    if (wish == NULL)
        return;
    if (wish->one_zone || wish->spread)
        each_task(w, add_place, &place);
    if ((wish->zone[0] != '\0' && strcmp(wish->zone, m->zone) != 0) || (m->spot && !wish->spot) ||
        (wish->one_zone && place.elsewhere > 0) || (wish->spread && place.in_zone > (wish->tasks + 1) / 2))
        g_string_append_printf(w->broken, "%s is at a wrong place on %s; ", job, m->name);
}

static void start_task(struct world *w, struct world_machine *m, const struct ow_worker_command *o)
{
    if (find_task(m, o) != NULL)
        return;
    struct world_task t = {
        .task = o->task, .attempt = o->attempt, .phase = OW_PHASE_FETCHING, .phase_at = w->now + FETCH_S};
    g_strlcpy(t.job, o->job, sizeof t.job);
    for (guint i = 0; i < m->tasks->len; i++) {
        const struct world_task *other = &g_array_index(m->tasks, struct world_task, i);
        if (other->task == o->task && strcmp(other->job, o->job) == 0 && other->phase != OW_PHASE_EXITED) {
            t.phase = OW_PHASE_EXITED;
            t.cause = OW_CAUSE_BUSY;
        }
    }
    if (t.phase != OW_PHASE_EXITED) {
        check_twice(w, m, o);
        check_over(w, o->job);
        m->starts++;
    }
    g_array_append_val(m->tasks, t);
    if (t.phase != OW_PHASE_EXITED) {
        check_limit(w, o->job);
        check_place(w, m, o->job);
    }
}

static void obey(struct world *w, struct world_machine *m, const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++) {
        const struct ow_worker_command *o = &g_array_index(commands, struct ow_worker_command, i);
        struct world_task *t = find_task(m, o);
        if (o->kind == OW_WORKER_LAUNCH) {
            start_task(w, m, o);
        } else if (o->kind == OW_WORKER_STOP && t != NULL && t->phase != OW_PHASE_EXITED) {
            t->phase = OW_PHASE_EXITED;
            t->cause = OW_CAUSE_STOPPED;
        } else if (o->kind == OW_WORKER_CLEAR && t != NULL && t->phase == OW_PHASE_EXITED) {
            m->forgets++;
            g_array_remove_index(m->tasks, (guint)(t - (struct world_task *)m->tasks->data));
        }
    }
}

void world_workers_take_direct(struct world *w, int controller, struct ow_effect *e)
{
    struct world_machine *m = world_machine(w, e->text);
    struct ow_event *c = world_command(OW_EVENT_DIRECT_REPLY, e->request);
    w->directs++;
    if (w->no_sockets) {
        c->status = OW_STATUS_UNSENT;
        world_deliver(w, controller, w->controller_nonce[controller], 0, c);
        return;
    }
    if (m == NULL || m->gone || m->hangs || m->unresponsive || w->hold_directs || apart(w, m, controller)) {
        if (m != NULL && !m->gone && (m->cut || w->hold_directs)) {
            /* The cut holds the packets; they get there once it ends. */
            struct late_direct late = {
                .token = e->token, .session = e->session, .commands = g_steal_pointer(&e->commands)};
            g_strlcpy(late.machine, m->name, sizeof late.machine);
            g_array_append_val(w->late, late);
        }
        world_deliver(w, controller, w->controller_nonce[controller], 3, c);
        return;
    }
    bool ok = e->token >= m->token && e->session == m->session;
    if (e->token > m->token) {
        m->token = e->token;
        m->report_at = MIN(m->report_at, w->now + 0.5);
    }
    if (ok)
        obey(w, m, e->commands);
    c->status = ok ? 200 : 409;
    c->report = world_make_report(m);
    world_deliver(w, controller, w->controller_nonce[controller], 0.01, c);
}

static void release_late(struct world *w)
{
    for (guint i = w->late->len; i > 0; i--) {
        struct late_direct *late = &g_array_index(w->late, struct late_direct, i - 1);
        struct world_machine *m = world_machine(w, late->machine);
        if (!m->gone && (m->cut || w->hold_directs))
            continue;
        if (!m->gone && late->token >= m->token && late->session == m->session) {
            m->token = late->token;
            obey(w, m, late->commands);
        }
        g_array_free(late->commands, TRUE);
        g_array_remove_index(w->late, i - 1);
    }
}

/* The answer to a report: requests of workers carry their machine's index above 2^32. */
void world_workers_take_answer(struct world *w, int controller, const struct ow_effect *e)
{
    guint index = (guint)(e->request >> 32) - 1;
    if (index >= w->machines->len)
        return; /* nobody waits for it */
    struct world_machine *m = g_ptr_array_index(w->machines, index);
    if (!m->report_busy || (uint32_t)e->request != (uint32_t)m->seq || m->hangs || m->unresponsive ||
        apart(w, m, controller))
        return;
    m->report_busy = false;
    m->report_at = w->now + w->settings[0].report_s;
    if (e->kind == OW_EFFECT_MISDIRECT) {
        int named = e->text != NULL ? atoi(e->text + strlen("node-")) : controller;
        m->controller = named != controller ? named : (controller + 1) % WORLD_CONTROLLERS;
        m->report_at = w->now + (named != controller ? 0.1 : 1);
        return;
    }
    if (e->token < m->token)
        return;
    if (e->token > m->token)
        m->report_at = w->now + 0.5;
    m->token = e->token;
    m->renewed_at = m->sent_at;
    guint before = m->tasks->len;
    obey(w, m, e->commands);
    if (m->tasks->len != before)
        m->report_at = w->now + 0.5;
}

static void step_task(struct world *w, struct world_machine *m, struct world_task *t)
{
    if (t->phase == OW_PHASE_EXITED || w->now < t->phase_at)
        return;
    if (t->phase == OW_PHASE_FETCHING) {
        check_over(w, t->job);
        t->phase = OW_PHASE_RUNNING;
        const struct world_wish *wish = wish_of(w, t->job);
        t->phase_at = wish != NULL && wish->service ? INFINITY : w->now + w->run_s;
    } else {
        t->phase = OW_PHASE_EXITED;
        t->cause = m->sick ? OW_CAUSE_ERROR : OW_CAUSE_DONE;
    }
    if (m->sick && t->phase == OW_PHASE_RUNNING)
        t->phase_at = w->now;
    m->report_at = MIN(m->report_at, w->now + 0.5);
}

static void check_cancelled(struct world *w, const struct world_machine *m)
{
    for (guint i = 0; i < m->tasks->len; i++) {
        const struct world_task *t = &g_array_index(m->tasks, struct world_task, i);
        const struct world_announcement *announcement = g_hash_table_lookup(w->announced, t->job);
        if (t->phase != OW_PHASE_EXITED && announcement != NULL && announcement->state == OW_JOB_CANCELLED &&
            w->now > announcement->at + w->settings[0].cancel_s)
            g_string_append_printf(w->broken, "%s/%u is on %s long after it was cancelled; ", t->job, t->task,
                                   m->name);
    }
}

static void step_machine(struct world *w, struct world_machine *m, guint index)
{
    if (m->gone || w->now < m->up_at)
        return;
    if (w->now - m->renewed_at > w->settings[0].lease_s) {
        m->session++;
        m->renewed_at = w->now;
        m->report_busy = false;
        g_array_set_size(m->tasks, 0);
    }
    check_cancelled(w, m);
    if (m->hangs)
        return;
    for (guint i = 0; i < m->tasks->len; i++)
        step_task(w, m, &g_array_index(m->tasks, struct world_task, i));
    if (m->report_busy && w->now - m->sent_at > 4) {
        m->report_busy = false;
        m->controller = (m->controller + 1) % WORLD_CONTROLLERS;
        m->report_at = w->now + 1;
    }
    if (m->report_busy || w->now < m->report_at || m->cut)
        return;
    m->sent_at = w->now;
    if (w->cores[m->controller] == NULL || m->stopped_reporting || apart(w, m, m->controller)) {
        m->controller = (m->controller + 1) % WORLD_CONTROLLERS;
        m->report_at = w->now + 1;
        return;
    }
    struct ow_report *report = world_make_report(m);
    m->report_busy = true;
    struct ow_event *c = world_command(OW_EVENT_REPORT, ((uint64_t)(index + 1) << 32) | (uint32_t)m->seq);
    c->report = report;
    world_deliver(w, m->controller, w->controller_nonce[m->controller], 0.01, c);
}

void world_workers_step(struct world *w)
{
    release_late(w);
    for (guint i = 0; i < w->machines->len; i++)
        step_machine(w, g_ptr_array_index(w->machines, i), i);
}
