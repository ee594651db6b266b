/* The checks of the safety rules on the simulated machines: each breach is recorded as a violation. */
#include "sim_parts.h"
#include "model/submission.h"
#include "model/worker.h"

#include <string.h>

/* A task may only be on the machine where it was started last. */
void sim_check_runs_once(struct sim_cluster *cluster, struct sim_machine *here,
                         const struct ow_worker_command *command)
{
    char *name = g_strdup_printf("%s/%u", command->job, command->task);
    const struct sim_machine *machine = g_hash_table_lookup(cluster->last_machine_of_task, name);
    for (guint k = 0; machine != NULL && machine != here && !machine->deleted && k < machine->tasks->len;
         k++) {
        const struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, k);
        if (task->phase != OW_PHASE_EXITED && task->task == command->task &&
            strcmp(task->job, command->job) == 0)
            g_string_append_printf(cluster->violations, "%s runs twice, on %s and %s; ", name, machine->name,
                                   here->name);
    }
    g_hash_table_replace(cluster->last_machine_of_task, name, here);
}

/* No task of a job may start once its user was answered that the job has ended. */
void sim_check_not_ended(struct sim_cluster *cluster, const char *job)
{
    const struct sim_announcement *announcement = g_hash_table_lookup(cluster->announcements, job);
    if (announcement != NULL)
        g_string_append_printf(cluster->violations, "%s was told %s and is started; ", job,
                               announcement->state == OW_JOB_DONE ? "done" : "cancelled");
}

const struct sim_requirements *sim_requirements_of(struct sim_cluster *cluster, const char *job)
{
    return g_hash_table_lookup(cluster->requirements, job);
}

/* Calls `take` for every task that is on a machine. */
static void each_task(struct sim_cluster *cluster,
                      void (*take)(struct sim_cluster *cluster, const struct sim_machine *machine,
                                   const struct sim_task *task, void *sum),
                      void *sum)
{
    for (guint i = 0; i < cluster->machines->len; i++) {
        const struct sim_machine *machine = sim_machine_at(cluster, i);
        for (guint k = 0; !machine->deleted && k < machine->tasks->len; k++) {
            const struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, k);
            if (task->phase != OW_PHASE_EXITED)
                take(cluster, machine, task, sum);
        }
    }
}

struct use {
    const char *team;
    double cpus;
};

static void add_use(struct sim_cluster *cluster, const struct sim_machine *machine,
                    const struct sim_task *task, void *sum)
{
    const struct sim_requirements *requirements = sim_requirements_of(cluster, task->job);
    struct use *use = sum;
    (void)machine;
    if (requirements != NULL && strcmp(requirements->team, use->team) == 0)
        use->cpus += requirements->cpus;
}

/* Checks the team's limit against the tasks that are really on machines. */
void sim_check_team_limit(struct sim_cluster *cluster, const char *job)
{
    const struct sim_requirements *requirements = sim_requirements_of(cluster, job);
    for (guint i = 0; requirements != NULL && i < cluster->settings[0].teams->len; i++) {
        const struct ow_team_settings *team =
            &g_array_index(cluster->settings[0].teams, struct ow_team_settings, i);
        struct use use = {requirements->team, 0};
        if (strcmp(team->name, requirements->team) != 0 || team->cpus_max <= 0)
            continue;
        each_task(cluster, add_use, &use);
        if (use.cpus > team->cpus_max + 1e-6)
            g_string_append_printf(cluster->violations, "team %s uses %g of %g with %s; ", use.team, use.cpus,
                                   team->cpus_max, job);
    }
}

struct place {
    const char *job;
    const struct sim_machine *here;
    uint32_t in_zone, elsewhere;
};

static void add_place(struct sim_cluster *cluster, const struct sim_machine *machine,
                      const struct sim_task *task, void *sum)
{
    struct place *place = sum;
    (void)cluster;
    if (strcmp(task->job, place->job) != 0)
        return;
    if (strcmp(machine->zone, place->here->zone) == 0)
        place->in_zone++;
    else
        place->elsewhere++;
}

void sim_check_placement(struct sim_cluster *cluster, const struct sim_machine *machine, const char *job)
{
    const struct sim_requirements *requirements = sim_requirements_of(cluster, job);
    struct place place = {job, machine, 0, 0};
    if (requirements == NULL)
        return;
    if (requirements->one_zone || requirements->spread)
        each_task(cluster, add_place, &place);
    if ((requirements->zone[0] != '\0' && strcmp(requirements->zone, machine->zone) != 0) ||
        (machine->spot && !requirements->spot) || (requirements->one_zone && place.elsewhere > 0) ||
        (requirements->spread && place.in_zone > (requirements->tasks + 1) / 2))
        g_string_append_printf(cluster->violations, "%s is at a wrong place on %s; ", job, machine->name);
}

void sim_check_cancellations(struct sim_cluster *cluster, const struct sim_machine *machine)
{
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, i);
        const struct sim_announcement *announcement = g_hash_table_lookup(cluster->announcements, task->job);
        if (task->phase != OW_PHASE_EXITED && announcement != NULL &&
            announcement->state == OW_JOB_CANCELLED &&
            cluster->now > announcement->at + cluster->settings[0].cancel_s)
            g_string_append_printf(cluster->violations, "%s/%u is on %s long after it was cancelled; ",
                                   task->job, task->task, machine->name);
    }
}
