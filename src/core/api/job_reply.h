/** @file
 * The reply to a user that shows the state of a job.
 */
#ifndef OW_CORE_API_JOB_REPLY_H
#define OW_CORE_API_JOB_REPLY_H

#include <stdint.h>

struct ow_core;
struct ow_job;

/** Replies with the state of the job. A cancelled job may be shown only once a leader has acknowledged its
 * cancellation: ow_job_answer() sees to that. `status` is the HTTP status. */
void ow_job_reply_send(struct ow_core *core, uint64_t request, int status, const struct ow_job *job);

#endif
