/* The checks of the safety rules on the simulated machines: each breach is recorded as a violation. */
#include "world_parts.h"

#include <string.h>

/* A task may only be on the machine where it was started last. */
void world_check_twice(struct world *w, struct world_machine *here, const struct ow_worker_command *command)
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
void world_check_over(struct world *w, const char *job)
{
    const struct world_announcement *announcement = g_hash_table_lookup(w->announced, job);
    if (announcement != NULL)
        g_string_append_printf(w->violations, "%s was told %s and is started; ", job,
                               announcement->state == OW_JOB_DONE ? "done" : "cancelled");
}

const struct world_requirements *world_requirements_of(struct world *w, const char *job)
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
    const struct world_requirements *requirements = world_requirements_of(w, task->job);
    struct use *use = sum;
    (void)machine;
    if (requirements != NULL && strcmp(requirements->team, use->team) == 0)
        use->cpus += requirements->cpus;
}

/* Checks the team's limit against the tasks that are really on machines. */
void world_check_limit(struct world *w, const char *job)
{
    const struct world_requirements *requirements = world_requirements_of(w, job);
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

void world_check_place(struct world *w, const struct world_machine *machine, const char *job)
{
    const struct world_requirements *requirements = world_requirements_of(w, job);
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

void world_check_cancelled(struct world *w, const struct world_machine *machine)
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
