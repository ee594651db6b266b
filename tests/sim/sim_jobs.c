/* Helpers that submit jobs and run the cluster until they are in a state that many tests start from. */
#include "sim_internal.h"

#include "check.h"

void sim_submit_accepted(struct sim_cluster *cluster, int controller, struct ow_submission *job)
{
    uint64_t request = sim_submit(cluster, controller, job);
    sim_run(cluster, 3);
    assert_int_equal(sim_status(cluster, request), 201);
}

struct sim_machine *sim_start_job(struct sim_cluster *cluster, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    sim_submit(cluster, 0, job);
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, id));
    return sim_find_machine_of_job(cluster, id);
}

struct sim_machine *sim_start_and_settle_job(struct sim_cluster *cluster, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    sim_start_job(cluster, job);
    sim_run(cluster, 3);
    return sim_find_machine_of_job(cluster, id);
}

struct sim_machine *sim_start_long_job(struct sim_cluster *cluster)
{
    cluster->run_time_s = 100;
    return sim_start_and_settle_job(cluster, sim_job("run-1", 1, 1));
}

void sim_submit_interleaved(struct sim_cluster *cluster, const char *id, uint32_t tasks)
{
    sim_submit(cluster, 0, sim_job(id, tasks, 0.4));
    sim_run(cluster, 6);
    assert_int_equal(sim_count_running(cluster, id), tasks);
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        for (guint k = 0; k < machine->tasks->len; k += 2)
            g_array_index(machine->tasks, struct sim_task, k).next_phase_at = cluster->now + 1;
    }
    sim_run(cluster, 4);
}
