/* Users' submissions of jobs. A submission whose id is known is a repeat and answered as a poll. */
#ifndef OW_CORE_API_SUBMIT_H
#define OW_CORE_API_SUBMIT_H

#include "model/submission.h"

#include <stdint.h>

struct ow_core;

/* Records the job if it is new and can run some day, and answers. Takes over `submission`. */
void ow_submit_job(struct ow_core *core, uint64_t request, struct ow_submission *submission);
/* Handles a submission of which only the id can be read. `error` says what is wrong; it is one of a limited
   set of texts, for it is interned. */
void ow_submit_malformed(struct ow_core *core, uint64_t request, const char *id, const char *error);

#endif
