/* Checks of the safety rules on the simulated machines. They examine the actual tasks on the machines, never
 * the state of a controller; each breach of a rule is recorded as a violation. */
#include "sim_internal.h"
#include "model/submission.h"
#include "model/worker.h"

#include <string.h>

/* Only the machine of its last launch may run a task. */
void sim_check_runs_once(struct sim_cluster *cluster, struct sim_machine *launched_on,
                         const struct ow_worker_command *command)
{
    char *name = g_strdup_printf("%s/%u", command->job, command->task);
    const struct sim_machine *machine = g_hash_table_lookup(cluster->last_machine_of_task, name);
    for (guint k = 0;
         machine != NULL && machine != launched_on && !machine->deleted && k < machine->tasks->len; k++) {
        const struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, k);
        if (task->phase != OW_PHASE_EXITED && task->task == command->task &&
            strcmp(task->job, command->job) == 0)
            g_string_append_printf(cluster->violations, "task %s runs twice, on %s and %s; ", name,
                                   machine->name, launched_on->name);
    }
    g_hash_table_replace(cluster->last_machine_of_task, name, launched_on);
}

/* No task of a job may start after a user was told that the job has ended. */
void sim_check_not_ended(struct sim_cluster *cluster, const char *job)
{
    const struct sim_final_state *final = g_hash_table_lookup(cluster->final_states, job);
    if (final != NULL)
        g_string_append_printf(cluster->violations, "job %s was reported as %s, and a task of it starts; ",
                               job, final->state == OW_JOB_DONE ? "done" : "cancelled");
}

const struct sim_requirements *sim_requirements_of(struct sim_cluster *cluster, const char *job)
{
    return g_hash_table_lookup(cluster->requirements, job);
}

/* Calls `visit` for every task that has not exited. */
static void for_each_task(struct sim_cluster *cluster,
                          void (*visit)(struct sim_cluster *cluster, const struct sim_machine *machine,
                                        const struct sim_task *task, void *context),
                          void *context)
{
    for (guint i = 0; i < cluster->machines->len; i++) {
        const struct sim_machine *machine = sim_machine_at(cluster, i);
        for (guint k = 0; !machine->deleted && k < machine->tasks->len; k++) {
            const struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, k);
            if (task->phase != OW_PHASE_EXITED)
                visit(cluster, machine, task, context);
        }
    }
}

struct team_usage {
    const char *team;
    double cpus;
};

static void add_team_usage(struct sim_cluster *cluster, const struct sim_machine *machine,
                           const struct sim_task *task, void *context)
{
    const struct sim_requirements *requirements = sim_requirements_of(cluster, task->job);
    struct team_usage *usage = context;
    (void)machine;
    if (requirements != NULL && strcmp(requirements->team, usage->team) == 0)
        usage->cpus += requirements->cpus;
}

/* Compares the team's limit with the tasks that are actually on machines. */
void sim_check_team_limit(struct sim_cluster *cluster, const char *job)
{
    const struct sim_requirements *requirements = sim_requirements_of(cluster, job);
    for (guint i = 0; requirements != NULL && i < cluster->settings[0].teams->len; i++) {
        const struct ow_team_settings *team =
            &g_array_index(cluster->settings[0].teams, struct ow_team_settings, i);
        struct team_usage usage = {requirements->team, 0};
        if (strcmp(team->name, requirements->team) != 0 || team->cpus_max <= 0)
            continue;
        for_each_task(cluster, add_team_usage, &usage);
        if (usage.cpus > team->cpus_max + 1e-6)
            g_string_append_printf(cluster->violations,
                                   "team %s uses %g CPUs of its limit of %g with job %s; ", usage.team,
                                   usage.cpus, team->cpus_max, job);
    }
}

struct zone_counts {
    const char *job;
    const struct sim_machine *launched_on;
    uint32_t in_zone, elsewhere;
};

static void count_zone(struct sim_cluster *cluster, const struct sim_machine *machine,
                       const struct sim_task *task, void *context)
{
    struct zone_counts *counts = context;
    (void)cluster;
    if (strcmp(task->job, counts->job) != 0)
        return;
    if (strcmp(machine->zone, counts->launched_on->zone) == 0)
        counts->in_zone++;
    else
        counts->elsewhere++;
}

void sim_check_placement(struct sim_cluster *cluster, const struct sim_machine *machine, const char *job)
{
    const struct sim_requirements *requirements = sim_requirements_of(cluster, job);
    struct zone_counts counts = {job, machine, 0, 0};
    if (requirements == NULL)
        return;
    if (requirements->one_zone || requirements->spread)
        for_each_task(cluster, count_zone, &counts);
    if ((requirements->zone[0] != '\0' && strcmp(requirements->zone, machine->zone) != 0) ||
        (machine->spot && !requirements->spot) || (requirements->one_zone && counts.elsewhere > 0) ||
        (requirements->spread && counts.in_zone > (requirements->tasks + 1) / 2))
        g_string_append_printf(cluster->violations, "job %s may not run on machine %s; ", job, machine->name);
}

void sim_check_cancellations(struct sim_cluster *cluster, const struct sim_machine *machine)
{
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, i);
        const struct sim_final_state *final = g_hash_table_lookup(cluster->final_states, task->job);
        if (task->phase != OW_PHASE_EXITED && final != NULL && final->state == OW_JOB_CANCELLED &&
            cluster->now > final->at + cluster->settings[0].cancel_s)
            g_string_append_printf(cluster->violations,
                                   "task %s/%u still runs on %s after the cancellation time limit; ",
                                   task->job, task->task, machine->name);
    }
}
