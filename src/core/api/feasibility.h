/** @file
 * Checks whether a submitted job can ever run, given the settings and the machine types.
 */
#ifndef OW_CORE_API_FEASIBILITY_H
#define OW_CORE_API_FEASIBILITY_H

struct ow_core;
struct ow_submission;

/** Why the job can never run: a constant text for users, not to be freed; NULL: it can run at some time. The
 * machine types must be known: without any, every job would be refused as too large. */
const char *ow_infeasible_reason(const struct ow_core *core, const struct ow_submission *submission);

#endif
