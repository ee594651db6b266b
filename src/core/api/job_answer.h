/** @file
 * What a user may be told of a job, and when.
 *
 * Invariants:
 * - Answers never go back. Only a job that is over is answered from the job table as it stands; everything
 *   else, "no such job" too, from a read of the key-value store that began after the request came.
 * - A user learns of a cancellation only once a leader has acknowledged it, whatever they ask for.
 */
#ifndef OW_CORE_API_JOB_ANSWER_H
#define OW_CORE_API_JOB_ANSWER_H

#include "model/submission.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_job;

/** A user's request about a job that waits for the key-value store. */
struct ow_pending_request {
    uint64_t request;       /**< whom to answer */
    char id[OW_ID_MAX + 1]; /**< of the job that it asks for */
};

/** Fills in a pending request; `id` is copied. */
void ow_pending_request_init(struct ow_pending_request *pending, uint64_t request, const char *id);
/** A pending request of its own, owned by the caller and freed with g_free(); `id` is copied. */
struct ow_pending_request *ow_pending_request_new(uint64_t request, const char *id);

/** Tells the user to repeat the request soon because the key-value store does not answer. */
void ow_job_answer_store_unavailable(struct ow_core *core, uint64_t request);
/** Answers with the state of the job; `status` is the HTTP status. If the job is cancelled, the answer waits
 * until a leader has acknowledged that. The state must be final, just committed by this request, or read
 * after the request came. */
void ow_job_answer(struct ow_core *core, uint64_t request, int status, const struct ow_job *job);
/** Answers with what a read shows that begins after this call: the state of the job of this id, or that there
 * is none. */
void ow_job_answer_after_read(struct ow_core *core, uint64_t request, const char *id);

/** The job that a pending request asks for, after the read that it waited for; `is_fresh` is whether that
 * read succeeded. If it did not, or there is no such job, the request is answered, and the result is NULL.
 * The job stays the job table's. */
const struct ow_job *ow_job_answer_find(struct ow_core *core, const struct ow_pending_request *pending,
                                        bool is_fresh);
/** Answers a pending request from what the read for it shows: an ow_refreshed_fn of ow_job_cache_refresh().
 * `data` is a struct ow_pending_request, which stays the caller's. */
void ow_job_answer_on_refreshed(struct ow_core *core, void *data, bool is_fresh);

#endif
