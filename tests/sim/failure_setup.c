/* Setup for the tests of overlapping failures. */
#include "failure_setup.h"

#include "check.h"
#include "model/submission.h"

struct sim_cluster *sim_with_long_tasks(int machines)
{
    struct sim_cluster *cluster = sim_with_machines(machines);
    cluster->run_time_s = 300;
    return cluster;
}

struct sim_machine *sim_start_job_at_follower(struct sim_cluster *cluster, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    sim_submit(cluster, sim_follower(cluster), job);
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, id));
    sim_run(cluster, 4);
    return sim_find_machine_of_job(cluster, id);
}

static void cancel_step(struct sim_cluster *cluster, struct canceller *canceller)
{
    if (canceller->answered_at > 0)
        return;
    if (canceller->request != 0 && sim_status(cluster, canceller->request) == 200)
        canceller->answered_at = cluster->now;
    else if (cluster->now >= canceller->requested_at + 1) {
        canceller->requested_at = cluster->now;
        canceller->request = sim_cancel(cluster, canceller->controller, canceller->id);
    }
}

void sim_run_with_canceller(struct sim_cluster *cluster, struct canceller *canceller, double seconds)
{
    for (double end = cluster->now + seconds; cluster->now < end;) {
        cancel_step(cluster, canceller);
        sim_run(cluster, 0.1);
    }
}
