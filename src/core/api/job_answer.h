/* Answers to users about a job, and requests of users that wait for the key-value store before they can be
 * answered. */
#ifndef OW_CORE_API_JOB_ANSWER_H
#define OW_CORE_API_JOB_ANSWER_H

#include "model/submission.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_job;

/* One request of a user that waits for the key-value store. */
struct ow_pending_request {
    uint64_t request;
    char id[OW_ID_MAX + 1]; /* of the job that it asks for */
};

/* A pending request; freed with g_free(). */
struct ow_pending_request *ow_pending_request_new(uint64_t request, const char *id);

/* Tells the user to come again soon. */
void ow_job_answer_retry(struct ow_core *core, uint64_t request, const char *text);
/* The same because the key-value store does not answer. */
void ow_job_answer_store_unavailable(struct ow_core *core, uint64_t request);
/* Answers with the state of the job. If it is cancelled, the answer waits until a leader has acknowledged
   that: until then the user may not learn of it, however they ask. */
void ow_job_answer(struct ow_core *core, uint64_t request, int status, const struct ow_job *job);
/* The job that a pending request asks for, after a read for it. If there is none or the read failed (`ok` is
   false), the request is answered, and the result is NULL. */
const struct ow_job *ow_job_answer_find(struct ow_core *core, const struct ow_pending_request *pending,
                                        bool ok);
/* Answers the pending request from what a read for it showed: a callback of ow_job_cache_refresh(), `data`
   is a struct ow_pending_request. */
void ow_job_answer_fresh(struct ow_core *core, void *data, bool ok);

#endif
