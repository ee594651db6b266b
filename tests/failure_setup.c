/* Set-up for the tests of overlapping failures. */
#include "failure_setup.h"

#include "check.h"

struct world *failure_world(int machines)
{
    struct world *w = world_with_machines(machines);
    w->run_time_s = 300;
    return w;
}

struct world_machine *failure_start_job(struct world *w, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    world_submit(w, world_follower(w), job);
    assert_true(world_until(w, 10, world_some_running, id));
    world_run(w, 4);
    return world_where(w, id);
}

static void cancel_step(struct world *w, struct canceller *canceller)
{
    if (canceller->answered_at > 0)
        return;
    if (canceller->request != 0 && world_status(w, canceller->request) == 200)
        canceller->answered_at = w->now;
    else if (w->now >= canceller->asked_at + 1) {
        canceller->asked_at = w->now;
        canceller->request = world_cancel(w, canceller->controller, canceller->id);
    }
}

void run_cancelling(struct world *w, struct canceller *canceller, double seconds)
{
    for (double end = w->now + seconds; w->now < end;) {
        cancel_step(w, canceller);
        world_run(w, 0.1);
    }
}
