/** @file
 * Processing of a heartbeat: checks that it is newer than the last one, which incarnation of the worker sent
 * it, and whether the worker has seen this leader's fencing token. reconciliation.h then compares its list of
 * tasks with the records.
 */
#ifndef OW_CORE_MACHINES_HEARTBEAT_INTAKE_H
#define OW_CORE_MACHINES_HEARTBEAT_INTAKE_H

#include "model/worker.h"

#include <glib.h>

struct ow_leader;
struct ow_machine;

/** Applies a heartbeat, unless it is a late copy: registers the machine if it is not known yet, and ends the
 * attempts that are proven gone.
 * @param commands struct ow_worker_command: those that the heartbeat calls for, such as clearing an ended
 * task, are appended; NULL: they are sent with the answer to the machine's next heartbeat
 * @return the machine, owned by the registry; NULL if it has been deleted */
struct ow_machine *ow_heartbeat_intake_apply(struct ow_leader *leader, const struct ow_heartbeat *heartbeat,
                                             GArray *commands);

#endif
