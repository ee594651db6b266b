/** @file
 * Taking in a heartbeat: whether it is newer than what is known, which incarnation of the worker sent it, and
 * whether the worker has seen this leader's fencing token. reconciliation.h then compares its list of tasks
 * with the records.
 */
#ifndef OW_CORE_MACHINES_HEARTBEAT_INTAKE_H
#define OW_CORE_MACHINES_HEARTBEAT_INTAKE_H

#include "model/worker.h"

#include <glib.h>

struct ow_leader;
struct ow_machine;

/** Takes in a heartbeat, unless it is a late copy: a machine that is not known yet is registered, and
 * attempts that are proven over end.
 * @param commands struct ow_worker_command: those that the heartbeat calls for, such as clearing an ended
 * task, are appended; NULL: they are left to the machine's next heartbeat
 * @return the machine, owned by the registry; NULL if it has been deleted */
struct ow_machine *ow_heartbeat_intake_apply(struct ow_leader *leader, const struct ow_heartbeat *heartbeat,
                                             GArray *commands);

#endif
