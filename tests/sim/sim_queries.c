/* Queries about the tasks on the simulated machines. */
#include "sim_internal.h"

#include "model/records.h"
#include "model/worker.h"

#include <string.h>

unsigned sim_count_running_on(const struct sim_machine *machine, const char *job)
{
    unsigned count = 0;
    for (guint k = 0; k < machine->tasks->len; k++) {
        const struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, k);
        count += task->phase != OW_PHASE_EXITED && strcmp(task->job, job) == 0 ? 1 : 0;
    }
    return count;
}

unsigned sim_count_running(struct sim_cluster *cluster, const char *job)
{
    unsigned count = 0;
    for (guint i = 0; i < cluster->machines->len; i++) {
        const struct sim_machine *machine = sim_machine_at(cluster, i);
        count += machine->deleted ? 0 : sim_count_running_on(machine, job);
    }
    return count;
}

unsigned sim_count_launches(const struct sim_cluster *cluster)
{
    unsigned total = 0;
    for (guint i = 0; i < cluster->machines->len; i++)
        total += sim_machine_at(cluster, i)->launches;
    return total;
}

bool sim_job_is_running(struct sim_cluster *cluster, const void *job)
{
    return sim_count_running(cluster, job) > 0;
}

bool sim_job_is_not_running(struct sim_cluster *cluster, const void *job)
{
    return sim_count_running(cluster, job) == 0;
}

bool sim_job_is_done(struct sim_cluster *cluster, const void *job)
{
    char *key = g_strconcat(OW_KEY_JOBS, job, NULL);
    const char *text = sim_read_value(cluster, key);
    g_free(key);
    return text != NULL && strcmp(text, "{\"e\":2}") == 0;
}

struct sim_machine *sim_find_machine_of_job(struct sim_cluster *cluster, const char *job)
{
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        if (!machine->deleted && sim_count_running_on(machine, job) > 0)
            return machine;
    }
    return NULL;
}

bool sim_machine_is_deleted(struct sim_cluster *cluster, const void *machine)
{
    (void)cluster;
    return ((const struct sim_machine *)machine)->deleted;
}

bool sim_job_runs_on_another(struct sim_cluster *cluster, const void *machine)
{
    const struct sim_machine *found = sim_find_machine_of_job(cluster, "run-1");
    return found != NULL && found != machine;
}

unsigned sim_count_running_in_zone(struct sim_cluster *cluster, const char *job, const char *zone)
{
    unsigned count = 0;
    for (guint i = 0; i < cluster->machines->len; i++) {
        const struct sim_machine *machine = sim_machine_at(cluster, i);
        count += strcmp(machine->zone, zone) == 0 ? sim_count_running_on(machine, job) : 0;
    }
    return count;
}

bool sim_job_runs_three_tasks(struct sim_cluster *cluster, const void *job)
{
    return sim_count_running(cluster, job) == 3;
}

/* The CPUs of a machine that are not used by its tasks. */
static double free_cpus(struct sim_cluster *cluster, const struct sim_machine *machine)
{
    double cpus = strcmp(machine->type, "big") == 0 ? 16 : 8;
    for (guint k = 0; k < machine->tasks->len; k++) {
        const struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, k);
        const struct sim_requirements *requirements = g_hash_table_lookup(cluster->requirements, task->job);
        cpus -= task->phase != OW_PHASE_EXITED ? requirements->cpus : 0;
    }
    return cpus;
}

bool sim_has_room_for(struct sim_cluster *cluster, const struct sim_requirements *requirements)
{
    for (guint i = 0; i < cluster->machines->len; i++) {
        const struct sim_machine *machine = sim_machine_at(cluster, i);
        if (!machine->deleted && cluster->now > machine->booted_at + 10 &&
            free_cpus(cluster, machine) >= requirements->tasks * requirements->cpus)
            return true;
    }
    return false;
}
