/* Reports of workers: what they say about machines, incarnations and tasks, and which attempts that proves to
 * be running, done or gone. */
#ifndef OW_CORE_MACHINES_RECONCILIATION_H
#define OW_CORE_MACHINES_RECONCILIATION_H

#include "model/worker.h"

#include <glib.h>

struct ow_leader;
struct ow_machine;

/* Applies a heartbeat, unless it is a late copy. Commands that it calls for, such as clearing an ended task,
   are appended to `commands` (struct ow_worker_command), which may be NULL. Returns the machine, or NULL if
   it has been deleted. */
struct ow_machine *ow_reconcile_heartbeat(struct ow_leader *leader, const struct ow_heartbeat *heartbeat,
                                          GArray *commands);
/* Stop commands (struct ow_worker_command) for the listed tasks of cancelled jobs, whether or not an attempt
   of them is known; the caller owns the array. */
GArray *ow_reconcile_cancelled(const struct ow_leader *leader, const struct ow_heartbeat *heartbeat);

#endif
