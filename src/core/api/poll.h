/** @file
 * Users' polls for the state of a job. The rules for answers are in job_answer.h.
 */
#ifndef OW_CORE_API_POLL_H
#define OW_CORE_API_POLL_H

#include <stdint.h>

struct ow_core;

/** Answers with the state of the job of this id: at once if it is known to be over, else after a read of the
 * key-value store. */
void ow_poll_job(struct ow_core *core, uint64_t request, const char *id);

#endif
