#include "core/api/job_reply.h"

#include "core/core_state.h"
#include "core/invariants.h"
#include "model/effect.h"
#include "model/http_status.h"
#include "model/submission.h"

/* Seconds after which a user should repeat a request that could not be handled (Retry-After). */
enum { RETRY_AFTER_S = 1 };

/* A cancellation is shown only once a leader that can still end the tasks has acknowledged it. */
static bool may_be_shown(struct ow_core *core, const struct ow_job *job)
{
    const struct ow_invariant invariant = {
        .name = "shown_cancellations_are_acknowledged",
        .subject = job->id,
        .fencing_token = job->cancel_fencing_token,
        .revision = job->mod_revision,
    };
    bool holds = job->state != OW_JOB_CANCELLED || job->is_cancellation_acknowledged;
    return ow_invariant_check(core, holds, &invariant);
}

void ow_job_reply_send(struct ow_core *core, uint64_t request, int status, const struct ow_job *job)
{
    if (!may_be_shown(core, job)) {
        ow_job_reply_retry_unacknowledged(core, request);
        return;
    }
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_JOB, request);
    bool is_over = ow_job_is_over(job);
    effect->status = status;
    g_strlcpy(effect->id, job->id, sizeof effect->id);
    effect->state = !is_over && job->running > 0 ? OW_JOB_RUNNING : job->state;
    effect->done = is_over ? OW_TASK_COUNT_UNKNOWN : job->done;
    effect->running = is_over ? OW_TASK_COUNT_UNKNOWN : job->running;
    effect->reason = g_strdup(job->reason);
    ow_request_metrics_note_answer(&core->request_metrics, OW_ANSWER_STATE);
    ow_core_emit(core, effect);
}

void ow_job_reply_retry(struct ow_core *core, uint64_t request, enum ow_answer_kind kind, const char *text)
{
    ow_request_metrics_note_answer(&core->request_metrics, kind);
    ow_core_reject_request(core, request, OW_HTTP_STATUS_UNAVAILABLE, text, RETRY_AFTER_S);
}

void ow_job_reply_retry_unacknowledged(struct ow_core *core, uint64_t request)
{
    ow_job_reply_retry(core, request, OW_ANSWER_RETRY_ACKNOWLEDGEMENT,
                       "the leader has not acknowledged the cancellation yet");
}

static enum ow_answer_kind kind_of_rejection(int status)
{
    if (status == OW_HTTP_STATUS_NOT_FOUND)
        return OW_ANSWER_UNKNOWN_JOB;
    return status == OW_HTTP_STATUS_BAD_REQUEST ? OW_ANSWER_MALFORMED : OW_ANSWER_IMPOSSIBLE;
}

void ow_job_reply_reject(struct ow_core *core, uint64_t request, int status, const char *text)
{
    ow_request_metrics_note_answer(&core->request_metrics, kind_of_rejection(status));
    ow_core_reject_request(core, request, status, text, 0);
}
