#include "core/peers/job_summary.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/peers/message_limits.h"
#include "model/peer.h"

#include <string.h>

static size_t entry_bytes(const struct ow_job *job)
{
    size_t reason_bytes = job->reason != NULL ? strlen(job->reason) : 0;
    return strlen(job->id) + reason_bytes + OW_MESSAGE_ENTRY_BYTES;
}

static struct ow_peer_message *new_message(const struct ow_leader *leader)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_SUMMARY);
    message->fencing_token = leader->fencing_token;
    return message;
}

static void add_entry(struct ow_peer_message *message, const struct ow_job *job)
{
    struct ow_peer_job entry = {
        .done = job->done,
        .running = job->running,
        .reason = g_strdup(job->reason),
    };
    g_strlcpy(entry.id, job->id, sizeof entry.id);
    g_array_append_val(message->summary.jobs, entry);
}

void ow_job_summary_send(struct ow_leader *leader)
{
    struct ow_peer_message *message = new_message(leader);
    size_t bytes = 0;
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        size_t added_bytes = entry_bytes(execution->job);
        if (message->summary.jobs->len >= OW_MESSAGE_PART_ENTRIES ||
            bytes + added_bytes > OW_MESSAGE_PART_BYTES) {
            ow_core_send_to_peers(leader->core, message);
            message = new_message(leader);
            bytes = 0;
        }
        add_entry(message, execution->job);
        bytes += added_bytes;
    }
    ow_core_send_to_peers(leader->core, message);
}
