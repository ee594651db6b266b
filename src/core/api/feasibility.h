/* Whether a submitted job can ever run, by the settings and the machine types. */
#ifndef OW_CORE_API_FEASIBILITY_H
#define OW_CORE_API_FEASIBILITY_H

struct ow_core;
struct ow_submission;

/* Why the job can never run, a text that stays valid; NULL if it can run some day. The machine types must be
   known. */
const char *ow_infeasible_reason(const struct ow_core *core, const struct ow_submission *submission);

#endif
