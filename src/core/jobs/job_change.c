#include "core/jobs/job_change.h"

#include "core/core_state.h"
#include "core/leader/leader_state.h"
#include "model/peer.h"

void ow_job_change_announce(struct ow_core *core, uint64_t revision)
{
    if (core->leader != NULL) {
        ow_leader_request_cycle(core->leader);
        return;
    }
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_JOB_CHANGED);
    message->job_change.revision = revision;
    ow_core_send_to_peers(core, message);
}
