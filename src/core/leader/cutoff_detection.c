#include "core/leader/cutoff_detection.h"

#include "core/leader/heartbeat_answer.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/peers/peer_status.h"

/* After this many heartbeat intervals without a message from any machine, all count as unreachable. */
static const double SILENCE_HEARTBEATS = 2.5;
/* How recently a peer must have announced that workers send it heartbeats. */
static const double PEER_RECENT_S = 3;
/* Minimum number of machines that should send heartbeats: a single one may be silent by a fault of its own.
 */
enum { EXPECTED_MACHINES_MIN = 2 };

/* Time of the newest message of any machine; not before the leader became ready, as no heartbeat was due
   until then. */
static double last_message_at(const struct ow_leader *leader)
{
    double last_at = leader->ready_at;
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        last_at = MAX(last_at, machine->liveness.last_message_at);
    }
    return last_at;
}

/* The number of machines that should send heartbeats. */
static unsigned count_expected(const struct ow_leader *leader)
{
    unsigned expected = 0;
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        expected += machine->listed == OW_LISTED_RUNNING && !machine->is_terminating ? 1 : 0;
    }
    return expected;
}

/* How long all machines may be silent. After a leader stalls, its workers wait for a reply until
   OW_HEARTBEAT_TIMEOUT_S before they try another controller. */
static double silence_max_s(const struct ow_leader *leader)
{
    double heartbeat_interval_s = leader->core->settings->heartbeat_interval_s;
    return MAX(SILENCE_HEARTBEATS * heartbeat_interval_s, OW_HEARTBEAT_TIMEOUT_S + heartbeat_interval_s);
}

bool ow_cutoff_detection_is_cut_off(const struct ow_leader *leader)
{
    double now = leader->core->now;
    return count_expected(leader) >= EXPECTED_MACHINES_MIN &&
           ow_peer_status_receives_heartbeats(leader->core->peer_status, now, PEER_RECENT_S) &&
           now - last_message_at(leader) > silence_max_s(leader);
}
