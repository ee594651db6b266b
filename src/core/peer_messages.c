#include "core/peer_messages.h"

#include "core/api/cancellation_ack.h"
#include "core/api/job_cache.h"
#include "core/controller.h"
#include "core/election/election.h"
#include "core/health.h"
#include "core/machine_hints.h"

static const double HELLO_S = 1;
/* A worker's report counts as recent for so long. */
static const double WORKER_RECENT_S = 6;

static void handle_hello(struct ow_controller *controller, const struct ow_peer_message *message)
{
    if (message->sender != NULL)
        g_hash_table_replace(controller->peer_formats, g_strdup(message->sender),
                             GUINT_TO_POINTER(message->version));
    if (message->number > 0) {
        const char *leader_name = message->leads ? message->sender : NULL;
        ow_election_observe_token(controller->election, message->number, leader_name);
    }
    if (message->receives_reports)
        controller->peer_receives_reports_at = controller->now;
    if (message->state_ok && message->sender != NULL) {
        double *heard_at = g_new(double, 1);
        *heard_at = controller->now;
        g_hash_table_replace(controller->peers_ok, g_strdup(message->sender), heard_at);
    }
}

static void handle_job_summary(struct ow_controller *controller, const struct ow_peer_job *summary)
{
    struct ow_job *job = ow_jobs_find(controller->jobs, summary->id);
    if (job == NULL || ow_job_over(job))
        return;
    bool has_reason = summary->reason != NULL && *summary->reason != '\0';
    job->done = summary->done;
    job->running = summary->running;
    ow_job_set_reason(job, has_reason ? summary->reason : NULL);
}

static void handle_summary(struct ow_controller *controller, const struct ow_peer_message *message)
{
    /* A leader has counted the tasks of its jobs itself. */
    if (controller->leader != NULL)
        return;
    for (guint i = 0; i < message->jobs->len; i++)
        handle_job_summary(controller, &g_array_index(message->jobs, struct ow_peer_job, i));
}

void ow_peer_messages_handle(struct ow_controller *controller, struct ow_peer_message *message)
{
    if (message->kind != OW_PEER_LINK_LOST)
        controller->last_peer_message_at = controller->now;
    switch (message->kind) {
    case OW_PEER_HELLO:
        handle_hello(controller, message);
        break;
    case OW_PEER_SUMMARY:
        handle_summary(controller, message);
        break;
    case OW_PEER_JOB_CHANGED:
        ow_job_cache_hint(controller->job_cache, message->number);
        break;
    case OW_PEER_CANCELLATION:
        ow_cancellation_ack_requested(controller->cancellation_ack, message);
        break;
    case OW_PEER_CANCELLATION_ACK:
        ow_cancellation_ack_received(controller->cancellation_ack, message);
        break;
    case OW_PEER_LINK_LOST:
        ow_election_peer_ended(controller->election, message->sender);
        break;
    case OW_PEER_HEARTBEAT:
    case OW_PEER_PROBE:
        break; /* of control/, which does not hand them on */
    case OW_PEER_MACHINES:
    case OW_PEER_MACHINES_PART:
        ow_machine_hints_take(controller->machine_hints, message);
        break;
    }
}

void ow_peer_messages_send_hello(struct ow_controller *controller)
{
    if (controller->now < controller->hello_at)
        return;
    controller->hello_at = controller->now + HELLO_S;
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HELLO);
    message->sender = g_strdup(controller->settings->controller_name);
    message->number = ow_election_token(controller->election);
    message->leads = message->number > 0;
    message->state_ok = ow_health_state_is_ok(controller);
    message->receives_reports = controller->last_worker_report_at > 0 &&
                                controller->now - controller->last_worker_report_at < WORKER_RECENT_S;
    ow_controller_send_to_peers(controller, message);
}
