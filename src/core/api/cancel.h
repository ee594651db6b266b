/** @file
 * Users' cancellations of jobs, up to the commit of the record. The steps from the commit to the answer are
 * in cancellation_ack.h.
 */
#ifndef OW_CORE_API_CANCEL_H
#define OW_CORE_API_CANCEL_H

#include <stdint.h>

struct ow_core;

/** Records that the job of this id is cancelled, unless it is over, and answers with its state once a leader
 * has acknowledged the cancellation. Idempotent: a repeated request gets the same answer. */
void ow_cancel_job(struct ow_core *core, uint64_t request, const char *id);

#endif
