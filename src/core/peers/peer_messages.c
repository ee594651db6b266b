#include "core/peers/peer_messages.h"

#include "core/api/cancellation_ack.h"
#include "core/core_state.h"
#include "core/election/election.h"
#include "core/jobs/job_cache.h"
#include "core/peers/machine_hints.h"
#include "core/peers/peer_status.h"
#include "model/peer.h"

static void handle_hello(struct ow_core *core, const struct ow_peer_message *message)
{
    ow_peer_status_note_hello(core->peer_status, message, core->now);
    if (message->fencing_token > 0) {
        const char *leader_name = message->hello.leads ? message->sender : NULL;
        ow_election_observe_fencing_token(core->election, message->fencing_token, leader_name);
    }
}

/* Applies a job's progress as counted by its leader; it is only shown to users, no decision depends on it. */
static void handle_job_summary(struct ow_core *core, const struct ow_peer_job *summary)
{
    struct ow_job *job = ow_jobs_find(core->jobs, summary->id);
    if (job == NULL || ow_job_is_over(job))
        return;
    bool has_reason = summary->reason != NULL && *summary->reason != '\0';
    job->done = summary->done;
    job->running = summary->running;
    ow_job_set_reason(job, has_reason ? summary->reason : NULL);
}

static void handle_summary(struct ow_core *core, const struct ow_peer_message *message)
{
    /* A leader has its own counts of the tasks. */
    if (core->leader != NULL)
        return;
    for (guint i = 0; i < message->summary.jobs->len; i++)
        handle_job_summary(core, &g_array_index(message->summary.jobs, struct ow_peer_job, i));
}

void ow_peer_messages_handle(struct ow_core *core, struct ow_peer_message *message)
{
    if (message->kind != OW_PEER_LINK_LOST)
        ow_peer_status_note_message(core->peer_status, core->now);
    switch (message->kind) {
    case OW_PEER_HELLO:
        handle_hello(core, message);
        break;
    case OW_PEER_SUMMARY:
        handle_summary(core, message);
        break;
    case OW_PEER_JOB_CHANGED:
        ow_job_cache_note_change(core->job_cache, message->job_change.revision);
        break;
    case OW_PEER_CANCELLATION:
        ow_cancellation_ack_handle_cancellation(core->cancellation_ack, message);
        break;
    case OW_PEER_CANCELLATION_ACK:
        ow_cancellation_ack_handle_ack(core->cancellation_ack, message);
        break;
    case OW_PEER_LINK_LOST:
        ow_election_note_peer_exited(core->election, message->sender);
        break;
    case OW_PEER_HEARTBEAT:
    case OW_PEER_PROBE:
        break; /* handled by src/sharding, which does not pass them to a core */
    case OW_PEER_MACHINES:
    case OW_PEER_MACHINES_PART:
        ow_machine_hints_receive(core->machine_hints, message);
        break;
    }
}
