/* Reports of workers: what they say about machines, sessions and tasks, and which attempts that proves to be
 * running, done or gone. */
#ifndef OW_CORE_MACHINES_REPORTS_H
#define OW_CORE_MACHINES_REPORTS_H

#include "core/types.h"

struct ow_leader;
struct ow_machine;

/* Applies a report, unless it is a late copy. Commands that it calls for, such as clearing an ended task,
   are appended to `commands` (struct ow_worker_command), which may be NULL. Returns the machine, or NULL if
   it has been deleted. */
struct ow_machine *ow_reports_receive(struct ow_leader *leader, const struct ow_report *report,
                                      GArray *commands);
/* Stop commands (struct ow_worker_command) for the listed tasks of cancelled jobs, whether or not an attempt
   of them is known; the caller owns the array. */
GArray *ow_reports_cancelled(const struct ow_leader *leader, const struct ow_report *report);

#endif
