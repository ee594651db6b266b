/* Users' cancellations of jobs. */
#ifndef OW_CORE_API_CANCEL_H
#define OW_CORE_API_CANCEL_H

#include <stdint.h>

struct ow_core;

/* Records that the job is cancelled, unless it is over, and answers once a leader has acknowledged that. */
void ow_cancel_job(struct ow_core *core, uint64_t request, const char *id);

#endif
