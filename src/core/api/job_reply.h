/** @file
 * Replies to a user's request about a job: its state, or that the request should be repeated.
 */
#ifndef OW_CORE_API_JOB_REPLY_H
#define OW_CORE_API_JOB_REPLY_H

#include "core/api/request_metrics.h"

#include <stdint.h>

struct ow_core;
struct ow_job;

/** Replies with the state of the job. A cancelled job may be shown only once a leader has acknowledged its
 * cancellation: ow_job_answer() ensures that. `status` is the HTTP status. */
void ow_job_reply_send(struct ow_core *core, uint64_t request, int status, const struct ow_job *job);

/** Replies with status 503 that the request could not be handled and should be repeated after 1 s. `kind` is
 * one of OW_ANSWER_RETRY_*; `text` is the reason for the user, and is copied. */
void ow_job_reply_retry(struct ow_core *core, uint64_t request, enum ow_answer_kind kind, const char *text);

/** Like ow_job_reply_retry(), because no leader has acknowledged the job's cancellation yet. */
void ow_job_reply_retry_unacknowledged(struct ow_core *core, uint64_t request);

/** Replies with an error that a repeated request would get, too. `text` is copied. */
void ow_job_reply_reject(struct ow_core *core, uint64_t request, int status, const char *text);

#endif
