/* Set-up for the tests of overlapping failures. */
#include "failure_setup.h"

#include "check.h"
#include "model/submission.h"

struct sim_cluster *failure_sim(int machines)
{
    struct sim_cluster *cluster = sim_with_machines(machines);
    cluster->run_time_s = 300;
    return cluster;
}

struct sim_machine *failure_start_job(struct sim_cluster *cluster, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    sim_submit(cluster, sim_follower(cluster), job);
    assert_true(sim_until(cluster, 10, sim_some_running, id));
    sim_run(cluster, 4);
    return sim_where(cluster, id);
}

static void cancel_step(struct sim_cluster *cluster, struct canceller *canceller)
{
    if (canceller->answered_at > 0)
        return;
    if (canceller->request != 0 && sim_status(cluster, canceller->request) == 200)
        canceller->answered_at = cluster->now;
    else if (cluster->now >= canceller->asked_at + 1) {
        canceller->asked_at = cluster->now;
        canceller->request = sim_cancel(cluster, canceller->controller, canceller->id);
    }
}

void run_cancelling(struct sim_cluster *cluster, struct canceller *canceller, double seconds)
{
    for (double end = cluster->now + seconds; cluster->now < end;) {
        cancel_step(cluster, canceller);
        sim_run(cluster, 0.1);
    }
}
