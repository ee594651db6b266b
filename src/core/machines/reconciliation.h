/** @file
 * Reconciliation: compares the list of tasks in a worker's heartbeat with the records, which proves attempts
 * to be running, done or gone.
 *
 * Guards safety rule 2 (a task starts elsewhere only on proof that its last attempt is gone) for proof by a
 * newer heartbeat or by a newer incarnation, and safety rule 3 (a result is cleared from its worker only when
 * no launch of it can still be delivered and it has been recorded). It owns no state.
 */
#ifndef OW_CORE_MACHINES_RECONCILIATION_H
#define OW_CORE_MACHINES_RECONCILIATION_H

#include "model/worker.h"

#include <glib.h>

struct ow_leader;
struct ow_machine;

/** Applies the list of tasks of a heartbeat that is newer than all earlier ones and was sent after the worker
 * saw this leader's fencing token.
 * @param tasks struct ow_task_status
 * @param commands struct ow_worker_command: the required stops and clears are appended; may be NULL */
void ow_reconcile_tasks(struct ow_leader *leader, struct ow_machine *machine, const GArray *tasks,
                        GArray *commands);
/** Ends the attempts on the machine that belong to older incarnations than its newest message does. Valid
 * whichever fencing token the worker has seen. */
void ow_reconcile_older_incarnations(struct ow_leader *leader, struct ow_machine *machine);
/** Returns stop commands (struct ow_worker_command) for the tasks of cancelled jobs in the heartbeat, whether
 * or not an attempt of them is known; the caller owns the array. */
GArray *ow_reconcile_cancelled(const struct ow_leader *leader, const struct ow_heartbeat *heartbeat);

#endif
