/* Queries of the tasks and jobs in the simulated cluster. */
#include "world_parts.h"

#include "core/records/records.h"

#include <string.h>

unsigned world_tasks_on(const struct world_machine *machine, const char *job)
{
    unsigned count = 0;
    for (guint k = 0; k < machine->tasks->len; k++) {
        const struct world_task *task = &g_array_index(machine->tasks, struct world_task, k);
        count += task->phase != OW_PHASE_EXITED && strcmp(task->job, job) == 0 ? 1 : 0;
    }
    return count;
}

unsigned world_running(struct world *w, const char *job)
{
    unsigned count = 0;
    for (guint i = 0; i < w->machines->len; i++) {
        const struct world_machine *machine = world_machine_at(w, i);
        count += machine->gone ? 0 : world_tasks_on(machine, job);
    }
    return count;
}

unsigned world_total_starts(const struct world *w)
{
    unsigned starts = 0;
    for (guint i = 0; i < w->machines->len; i++)
        starts += world_machine_at(w, i)->starts;
    return starts;
}

bool world_some_running(struct world *w, const void *job)
{
    return world_running(w, job) > 0;
}

bool world_none_running(struct world *w, const void *job)
{
    return world_running(w, job) == 0;
}

bool world_all_done(struct world *w, const void *job)
{
    char *key = g_strconcat(OW_KEY_JOBS, job, NULL);
    const char *text = world_value_text(w, key);
    g_free(key);
    return text != NULL && strcmp(text, "{\"e\":2}") == 0;
}

struct world_machine *world_where(struct world *w, const char *job)
{
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *machine = world_machine_at(w, i);
        if (!machine->gone && world_tasks_on(machine, job) > 0)
            return machine;
    }
    return NULL;
}

bool world_is_gone(struct world *w, const void *machine)
{
    (void)w;
    return ((const struct world_machine *)machine)->gone;
}

bool world_runs_on_another(struct world *w, const void *machine)
{
    const struct world_machine *m = world_where(w, "run-1");
    return m != NULL && m != machine;
}

unsigned world_running_in(struct world *w, const char *job, const char *zone)
{
    unsigned count = 0;
    for (guint i = 0; i < w->machines->len; i++) {
        const struct world_machine *machine = world_machine_at(w, i);
        count += strcmp(machine->zone, zone) == 0 ? world_tasks_on(machine, job) : 0;
    }
    return count;
}

bool world_three_running(struct world *w, const void *job)
{
    return world_running(w, job) == 3;
}

int world_follower(const struct world *w)
{
    return (world_leader(w) + 1) % WORLD_CONTROLLERS;
}

/* CPUs of a machine that its tasks leave free. */
static double free_cpus(struct world *w, const struct world_machine *machine)
{
    double cpus = strcmp(machine->type, "big") == 0 ? 16 : 8;
    for (guint k = 0; k < machine->tasks->len; k++) {
        const struct world_task *task = &g_array_index(machine->tasks, struct world_task, k);
        const struct world_requirements *requirements = g_hash_table_lookup(w->requirements, task->job);
        cpus -= task->phase != OW_PHASE_EXITED ? requirements->cpus : 0;
    }
    return cpus;
}

bool world_has_room_for(struct world *w, const struct world_requirements *requirements)
{
    for (guint i = 0; i < w->machines->len; i++) {
        const struct world_machine *machine = world_machine_at(w, i);
        if (!machine->gone && w->now > machine->up_at + 10 &&
            free_cpus(w, machine) >= requirements->tasks * requirements->cpus)
            return true;
    }
    return false;
}
