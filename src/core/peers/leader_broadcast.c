#include "core/peers/leader_broadcast.h"

#include "core/leader/leader_state.h"
#include "core/peers/job_summary.h"
#include "core/peers/machine_list.h"

/* How often each is sent. */
static const double SUMMARY_INTERVAL_S = 1.5;
static const double MACHINES_INTERVAL_S = 5;

struct ow_leader_broadcast {
    double summary_at;  /* when the jobs are due next */
    double machines_at; /* when the list of machines is due next */
};

struct ow_leader_broadcast *ow_leader_broadcast_new(void)
{
    return g_new0(struct ow_leader_broadcast, 1);
}

void ow_leader_broadcast_free(struct ow_leader_broadcast *broadcast)
{
    g_free(broadcast);
}

void ow_leader_broadcast_tick(struct ow_leader *leader)
{
    struct ow_leader_broadcast *broadcast = leader->broadcast;
    double now = leader->core->now;
    if (now >= broadcast->summary_at) {
        broadcast->summary_at = now + SUMMARY_INTERVAL_S;
        ow_job_summary_send(leader);
    }
    if (now >= broadcast->machines_at) {
        broadcast->machines_at = now + MACHINES_INTERVAL_S;
        ow_machine_list_send(leader);
    }
}
