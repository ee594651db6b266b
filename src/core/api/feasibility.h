/** @file
 * Whether a submitted job can ever run, by the settings and the machine types.
 */
#ifndef OW_CORE_API_FEASIBILITY_H
#define OW_CORE_API_FEASIBILITY_H

struct ow_core;
struct ow_submission;

/** Why the job can never run: a constant text that users see, never freed; NULL if it can run some day. The
 * machine types must be known: with none every job would seem to be too large. */
const char *ow_infeasible_reason(const struct ow_core *core, const struct ow_submission *submission);

#endif
