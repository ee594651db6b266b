#include "core/peers/leader_broadcast.h"

#include "core/leader/leader_state.h"
#include "core/peers/job_summary.h"
#include "core/peers/machine_list.h"

/* Send intervals of the job summary and of the machine list. */
static const double SUMMARY_INTERVAL_S = 1.5;
static const double MACHINE_LIST_INTERVAL_S = 5;

struct ow_leader_broadcast {
    double next_summary_at;      /* when the job summary is sent next */
    double next_machine_list_at; /* when the machine list is sent next */
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
    if (now >= broadcast->next_summary_at) {
        broadcast->next_summary_at = now + SUMMARY_INTERVAL_S;
        ow_job_summary_send(leader);
    }
    if (now >= broadcast->next_machine_list_at) {
        broadcast->next_machine_list_at = now + MACHINE_LIST_INTERVAL_S;
        ow_machine_list_send(leader);
    }
}
