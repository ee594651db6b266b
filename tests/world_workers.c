/* The fake world's machines and their workers, which check every safety rule. */
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
        struct world_machine *machine = world_machine_at(w, i);
        g_array_free(machine->tasks, TRUE);
        g_free(machine);
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

struct world_machine *world_machine_at(const struct world *w, guint index)
{
    return g_ptr_array_index(w->machines, index);
}

struct world_machine *world_add_machine(struct world *w, const char *name, const char *type, const char *zone,
                                        bool spot)
{
    struct world_machine *machine = g_new0(struct world_machine, 1);
    g_strlcpy(machine->name, name, sizeof machine->name);
    g_snprintf(machine->addr, sizeof machine->addr, "%s:9000", name);
    g_strlcpy(machine->type, type, sizeof machine->type);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->spot = spot;
    machine->session = 1;
    machine->notice_s = -1;
    machine->only_controller = -1;
    machine->up_at = machine->renewed_at = machine->report_at = w->now;
    machine->tasks = g_array_new(FALSE, TRUE, sizeof(struct world_task));
    g_ptr_array_add(w->machines, machine);
    g_hash_table_insert(w->machines_by_name, machine->name, machine);
    g_hash_table_insert(w->machines_by_name, machine->addr, machine);
    return machine;
}

void world_add_group(struct world *w, const char *prefix, int machines, const char *zone, bool spot)
{
    for (int i = 0; i < machines; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "%s-%d", prefix, i);
        world_add_machine(w, name, "big", zone, spot);
    }
}

void world_add_machines(struct world *w, int machines)
{
    world_add_group(w, "m", machines, "east", false);
}

void world_delete_machine(struct world_machine *machine)
{
    machine->gone = true;
    g_array_set_size(machine->tasks, 0);
}

struct ow_report *world_make_report(struct world_machine *machine)
{
    struct ow_report *report = g_new0(struct ow_report, 1);
    report->machine = g_strdup(machine->name);
    report->addr = g_strdup(machine->addr);
    report->type = g_strdup(machine->type);
    report->zone = g_strdup(machine->zone);
    report->spot = machine->spot;
    report->session = machine->session;
    report->seq = ++machine->seq;
    report->token = machine->token;
    report->notice_s = machine->notice_s;
    report->tasks = g_array_new(FALSE, TRUE, sizeof(struct ow_task_report));
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct world_task *task = &g_array_index(machine->tasks, struct world_task, i);
        struct ow_task_report task_report = {.task = task->task,
                                             .attempt = task->attempt,
                                             .phase = task->phase,
                                             .cause = task->cause,
                                             .saved = task->saved};
        g_strlcpy(task_report.job, task->job, sizeof task_report.job);
        g_array_append_val(report->tasks, task_report);
    }
    return report;
}

static struct world_task *find_task(struct world_machine *machine, const struct ow_worker_command *command)
{
    for (guint i = 0; i < machine->tasks->len; i++) {
        struct world_task *task = &g_array_index(machine->tasks, struct world_task, i);
        if (task->task == command->task && task->attempt == command->attempt &&
            strcmp(task->job, command->job) == 0)
            return task;
    }
    return NULL;
}

/* A task may only be on the machine where it was started last. */
static void check_twice(struct world *w, struct world_machine *here, const struct ow_worker_command *command)
{
    char *name = g_strdup_printf("%s/%u", command->job, command->task);
    const struct world_machine *machine = g_hash_table_lookup(w->started_on, name);
    for (guint k = 0; machine != NULL && machine != here && !machine->gone && k < machine->tasks->len; k++) {
        const struct world_task *task = &g_array_index(machine->tasks, struct world_task, k);
        if (task->phase != OW_PHASE_EXITED && task->task == command->task &&
            strcmp(task->job, command->job) == 0)
            g_string_append_printf(w->violations, "%s runs twice, on %s and %s; ", name, machine->name,
                                   here->name);
    }
    g_hash_table_replace(w->started_on, name, here);
}

/* No task of a job may start once its user was answered that the job has ended. */
static void check_over(struct world *w, const char *job)
{
    const struct world_announcement *announcement = g_hash_table_lookup(w->announced, job);
    if (announcement != NULL)
        g_string_append_printf(w->violations, "%s was told %s and is started; ", job,
                               announcement->state == OW_JOB_DONE ? "done" : "cancelled");
}

/* Whether no message passes between the two, in either direction. */
static bool apart(const struct world *w, const struct world_machine *machine, int controller)
{
    return machine->cut || controller == w->workerless_controller ||
           (machine->only_controller >= 0 && controller != machine->only_controller);
}

static const struct world_requirements *requirements_of(struct world *w, const char *job)
{
    return g_hash_table_lookup(w->requirements, job);
}

/* Calls `take` for every task that is on a machine. */
static void each_task(struct world *w,
                      void (*take)(struct world *w, const struct world_machine *machine,
                                   const struct world_task *task, void *sum),
                      void *sum)
{
    for (guint i = 0; i < w->machines->len; i++) {
        const struct world_machine *machine = world_machine_at(w, i);
        for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
            const struct world_task *task = &g_array_index(machine->tasks, struct world_task, k);
            if (task->phase != OW_PHASE_EXITED)
                take(w, machine, task, sum);
        }
    }
}

struct use {
    const char *team;
    double cpus;
};

static void add_use(struct world *w, const struct world_machine *machine, const struct world_task *task,
                    void *sum)
{
    const struct world_requirements *requirements = requirements_of(w, task->job);
    struct use *use = sum;
    (void)machine;
    if (requirements != NULL && strcmp(requirements->team, use->team) == 0)
        use->cpus += requirements->cpus;
}

/* Checks the team's limit against the tasks that are really on machines. */
static void check_limit(struct world *w, const char *job)
{
    const struct world_requirements *requirements = requirements_of(w, job);
    for (guint i = 0; requirements != NULL && i < w->settings[0].teams->len; i++) {
        const struct ow_team_settings *team =
            &g_array_index(w->settings[0].teams, struct ow_team_settings, i);
        struct use use = {requirements->team, 0};
        if (strcmp(team->name, requirements->team) != 0 || team->cpus_max <= 0)
            continue;
        each_task(w, add_use, &use);
        if (use.cpus > team->cpus_max + 1e-6)
            g_string_append_printf(w->violations, "team %s uses %g of %g with %s; ", use.team, use.cpus,
                                   team->cpus_max, job);
    }
}

struct place {
    const char *job;
    const struct world_machine *here;
    uint32_t in_zone, elsewhere;
};

static void add_place(struct world *w, const struct world_machine *machine, const struct world_task *task,
                      void *sum)
{
    struct place *place = sum;
    (void)w;
    if (strcmp(task->job, place->job) != 0)
        return;
    if (strcmp(machine->zone, place->here->zone) == 0)
        place->in_zone++;
    else
        place->elsewhere++;
}

static void check_place(struct world *w, const struct world_machine *machine, const char *job)
{
    const struct world_requirements *requirements = requirements_of(w, job);
    struct place place = {job, machine, 0, 0};
    if (requirements == NULL)
        return;
    if (requirements->one_zone || requirements->spread)
        each_task(w, add_place, &place);
    if ((requirements->zone[0] != '\0' && strcmp(requirements->zone, machine->zone) != 0) ||
        (machine->spot && !requirements->spot) || (requirements->one_zone && place.elsewhere > 0) ||
        (requirements->spread && place.in_zone > (requirements->tasks + 1) / 2))
        g_string_append_printf(w->violations, "%s is at a wrong place on %s; ", job, machine->name);
}

static void start_task(struct world *w, struct world_machine *machine,
                       const struct ow_worker_command *command)
{
    if (find_task(machine, command) != NULL)
        return;
    struct world_task task = {.task = command->task,
                              .attempt = command->attempt,
                              .phase = OW_PHASE_FETCHING,
                              .phase_at = w->now + FETCH_S};
    g_strlcpy(task.job, command->job, sizeof task.job);
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct world_task *other = &g_array_index(machine->tasks, struct world_task, i);
        if (other->task == command->task && strcmp(other->job, command->job) == 0 &&
            other->phase != OW_PHASE_EXITED) {
            task.phase = OW_PHASE_EXITED;
            task.cause = OW_CAUSE_BUSY;
        }
    }
    if (task.phase != OW_PHASE_EXITED) {
        check_twice(w, machine, command);
        check_over(w, command->job);
        machine->starts++;
    }
    g_array_append_val(machine->tasks, task);
    if (task.phase != OW_PHASE_EXITED) {
        check_limit(w, command->job);
        check_place(w, machine, command->job);
    }
}

static void obey(struct world *w, struct world_machine *machine, const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++) {
        const struct ow_worker_command *command = &g_array_index(commands, struct ow_worker_command, i);
        struct world_task *task = find_task(machine, command);
        if (command->kind == OW_WORKER_LAUNCH) {
            start_task(w, machine, command);
        } else if (command->kind == OW_WORKER_STOP && task != NULL && task->phase != OW_PHASE_EXITED) {
            task->phase = OW_PHASE_EXITED;
            task->cause = OW_CAUSE_STOPPED;
        } else if (command->kind == OW_WORKER_CLEAR && task != NULL && task->phase == OW_PHASE_EXITED) {
            machine->clears++;
            g_array_remove_index(machine->tasks, (guint)(task - (struct world_task *)machine->tasks->data));
        }
    }
}

void world_workers_take_direct(struct world *w, int controller, struct ow_effect *effect)
{
    struct world_machine *machine = world_machine(w, effect->text);
    struct ow_event *event = world_command(OW_EVENT_DIRECT_REPLY, effect->request);
    w->directs++;
    if (w->no_sockets) {
        event->status = OW_STATUS_UNSENT;
        world_deliver(w, controller, w->controller_nonce[controller], 0, event);
        return;
    }
    if (machine == NULL || machine->gone || machine->hangs || machine->unresponsive || w->hold_directs ||
        apart(w, machine, controller)) {
        if (machine != NULL && !machine->gone && (machine->cut || w->hold_directs)) {
            /* The partition delays the packets; they arrive once it heals. */
            struct late_direct late = {.token = effect->token,
                                       .session = effect->session,
                                       .commands = g_steal_pointer(&effect->commands)};
            g_strlcpy(late.machine, machine->name, sizeof late.machine);
            g_array_append_val(w->late, late);
        }
        world_deliver(w, controller, w->controller_nonce[controller], 3, event);
        return;
    }
    bool ok = effect->token >= machine->token && effect->session == machine->session;
    if (effect->token > machine->token) {
        machine->token = effect->token;
        machine->report_at = MIN(machine->report_at, w->now + 0.5);
    }
    if (ok)
        obey(w, machine, effect->commands);
    event->status = ok ? 200 : 409;
    event->report = world_make_report(machine);
    world_deliver(w, controller, w->controller_nonce[controller], 0.01, event);
}

static void release_late(struct world *w)
{
    for (guint i = w->late->len; i > 0; i--) {
        struct late_direct *late = &g_array_index(w->late, struct late_direct, i - 1);
        struct world_machine *machine = world_machine(w, late->machine);
        if (!machine->gone && (machine->cut || w->hold_directs))
            continue;
        if (!machine->gone && late->token >= machine->token && late->session == machine->session) {
            machine->token = late->token;
            obey(w, machine, late->commands);
        }
        g_array_free(late->commands, TRUE);
        g_array_remove_index(w->late, i - 1);
    }
}

/* Takes the response to a report: requests of workers carry their machine's index above 2^32. */
void world_workers_take_answer(struct world *w, int controller, const struct ow_effect *effect)
{
    guint index = (guint)(effect->request >> 32) - 1;
    if (index >= w->machines->len)
        return; /* no worker waits for it */
    struct world_machine *machine = world_machine_at(w, index);
    if (!machine->report_busy || (uint32_t)effect->request != (uint32_t)machine->seq || machine->hangs ||
        machine->unresponsive || apart(w, machine, controller))
        return;
    machine->report_busy = false;
    machine->report_at = w->now + w->settings[0].report_s;
    if (effect->kind == OW_EFFECT_MISDIRECT) {
        int named = effect->text != NULL ? atoi(effect->text + strlen("node-")) : controller;
        machine->controller = named != controller ? named : (controller + 1) % WORLD_CONTROLLERS;
        machine->report_at = w->now + (named != controller ? 0.1 : 1);
        return;
    }
    if (effect->token < machine->token)
        return;
    if (effect->token > machine->token)
        machine->report_at = w->now + 0.5;
    machine->token = effect->token;
    machine->renewed_at = machine->sent_at;
    guint before = machine->tasks->len;
    obey(w, machine, effect->commands);
    if (machine->tasks->len != before)
        machine->report_at = w->now + 0.5;
}

static void step_task(struct world *w, struct world_machine *machine, struct world_task *task)
{
    if (task->phase == OW_PHASE_EXITED || w->now < task->phase_at)
        return;
    if (task->phase == OW_PHASE_FETCHING) {
        check_over(w, task->job);
        task->phase = OW_PHASE_RUNNING;
        const struct world_requirements *requirements = requirements_of(w, task->job);
        task->phase_at = requirements != NULL && requirements->service ? INFINITY : w->now + w->run_s;
    } else {
        task->phase = OW_PHASE_EXITED;
        task->cause = machine->faulty ? OW_CAUSE_ERROR : OW_CAUSE_DONE;
    }
    if (machine->faulty && task->phase == OW_PHASE_RUNNING)
        task->phase_at = w->now;
    machine->report_at = MIN(machine->report_at, w->now + 0.5);
}

static void check_cancelled(struct world *w, const struct world_machine *machine)
{
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct world_task *task = &g_array_index(machine->tasks, struct world_task, i);
        const struct world_announcement *announcement = g_hash_table_lookup(w->announced, task->job);
        if (task->phase != OW_PHASE_EXITED && announcement != NULL &&
            announcement->state == OW_JOB_CANCELLED && w->now > announcement->at + w->settings[0].cancel_s)
            g_string_append_printf(w->violations, "%s/%u is on %s long after it was cancelled; ", task->job,
                                   task->task, machine->name);
    }
}

static void step_machine(struct world *w, struct world_machine *machine, guint index)
{
    if (machine->gone || w->now < machine->up_at)
        return;
    if (w->now - machine->renewed_at > w->settings[0].lease_s) {
        machine->session++;
        machine->renewed_at = w->now;
        machine->report_busy = false;
        g_array_set_size(machine->tasks, 0);
    }
    check_cancelled(w, machine);
    if (machine->hangs)
        return;
    for (guint i = 0; i < machine->tasks->len; i++)
        step_task(w, machine, &g_array_index(machine->tasks, struct world_task, i));
    if (machine->report_busy && w->now - machine->sent_at > 4) {
        machine->report_busy = false;
        machine->controller = (machine->controller + 1) % WORLD_CONTROLLERS;
        machine->report_at = w->now + 1;
    }
    if (machine->report_busy || w->now < machine->report_at || machine->cut)
        return;
    machine->sent_at = w->now;
    if (w->cores[machine->controller] == NULL || machine->stopped_reporting ||
        apart(w, machine, machine->controller)) {
        machine->controller = (machine->controller + 1) % WORLD_CONTROLLERS;
        machine->report_at = w->now + 1;
        return;
    }
    struct ow_report *report = world_make_report(machine);
    machine->report_busy = true;
    struct ow_event *event =
        world_command(OW_EVENT_REPORT, ((uint64_t)(index + 1) << 32) | (uint32_t)machine->seq);
    event->report = report;
    world_deliver(w, machine->controller, w->controller_nonce[machine->controller], 0.01, event);
}

void world_workers_step(struct world *w)
{
    release_late(w);
    for (guint i = 0; i < w->machines->len; i++)
        step_machine(w, world_machine_at(w, i), i);
}
