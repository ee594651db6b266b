/** @file
 * Users' submissions of jobs.
 *
 * Invariants:
 * - A submission whose id is known is a repeat and answered as a poll, even if its other fields differ.
 * - A job is accepted by the commit of its record alone; no user or controller is informed of it before.
 * - A refusal is sent only after a read that shows that no controller has accepted the id.
 */
#ifndef OW_CORE_API_SUBMIT_H
#define OW_CORE_API_SUBMIT_H

#include "model/submission.h"

#include <stdint.h>

struct ow_core;

/** Records the job if it is new and can run, and answers. Takes ownership of `submission`. */
void ow_submit_job(struct ow_core *core, uint64_t request, struct ow_submission *submission);
/** Answers a submission of which only the id can be read: as a poll if the job is known, else with status 400
 * and `error` as the reason. `error` is interned and never freed, so it must be one of a limited set of
 * texts. */
void ow_submit_malformed(struct ow_core *core, uint64_t request, const char *id, const char *error);

#endif
