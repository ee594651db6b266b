/** @file
 * Decides which state of a job may be shown to a user, and when.
 *
 * Invariants:
 * - Reads are monotonic: no answer shows an older state than an earlier one. Only a finished job is answered
 *   from the job table; every other answer, "no such job" included, is based on a read of the key-value store
 *   that started after the request came.
 * - A user sees a cancellation only once a leader has acknowledged it, whatever the kind of request.
 */
#ifndef OW_CORE_API_JOB_ANSWER_H
#define OW_CORE_API_JOB_ANSWER_H

#include "core/jobs/refresh_waiters.h"
#include "model/submission.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_job;

/** A user's request about a job that waits for the key-value store. */
struct ow_pending_request {
    uint64_t request;       /**< the number under which it is answered */
    char id[OW_ID_MAX + 1]; /**< of the requested job */
};

/** Fills in a pending request; `id` is copied. */
void ow_pending_request_init(struct ow_pending_request *pending, uint64_t request, const char *id);
/** Allocates a pending request, owned by the caller and freed with g_free(); `id` is copied. */
struct ow_pending_request *ow_pending_request_new(uint64_t request, const char *id);

/** Answers with status 503: the key-value store does not answer, and the user should repeat the request. */
void ow_job_answer_store_unavailable(struct ow_core *core, uint64_t request);
/** Answers with the state of the job; `status` is the HTTP status. If the job is cancelled, the answer waits
 * until a leader has acknowledged that. The state must be final, just committed by this request, or read
 * after the request came. */
void ow_job_answer(struct ow_core *core, uint64_t request, int status, const struct ow_job *job);
/** Answers from a read that starts after this call: with the state of the job of this id, or that there is
 * none. */
void ow_job_answer_after_read(struct ow_core *core, uint64_t request, const char *id);

/** The job of a pending request, after the read that it waited for; `result` is that of the read.
 * If it failed, or there is no such job, the request is answered, and the result is NULL. The job
 * is owned by the job table. */
const struct ow_job *ow_job_answer_find(struct ow_core *core, const struct ow_pending_request *pending,
                                        enum ow_refresh_result result);
/** Answers a pending request after the read for it: an ow_refreshed_fn for ow_job_cache_refresh(). `data` is
 * a struct ow_pending_request, which the caller keeps. */
void ow_job_answer_on_refreshed(struct ow_core *core, void *data, enum ow_refresh_result result);

#endif
