/** @file
 * Users' cancellations of jobs: the record, up to its commit. What follows until the user is told is in
 * cancellation_ack.h.
 */
#ifndef OW_CORE_API_CANCEL_H
#define OW_CORE_API_CANCEL_H

#include <stdint.h>

struct ow_core;

/** Records that the job of this id is cancelled, unless it is over, and answers with its state once a leader
 * has acknowledged that. A repeat is answered like the first request. */
void ow_cancel_job(struct ow_core *core, uint64_t request, const char *id);

#endif
