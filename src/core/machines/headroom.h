/** @file
 * Headroom: idle machines kept ready for classes whose SLOs leave no time to boot a machine.
 */
#ifndef OW_CORE_MACHINES_HEADROOM_H
#define OW_CORE_MACHINES_HEADROOM_H

#include <glib.h>
#include <stdbool.h>

struct ow_leader;
struct ow_machine;

/** Plans machines to provision for classes whose SLOs leave no time to boot a machine.
 * @param plan struct ow_expected_machine: the planned machines are appended
 * @param limit maximum number to append; reduced by the number appended */
void ow_headroom_plan(struct ow_leader *leader, GArray *plan, unsigned *limit);
/** Returns the idle machines (struct ow_machine *) that no such class needs, most expensive first; the caller
 * frees the array.
 * @param idle tells whether a machine is idle */
GPtrArray *ow_headroom_unneeded(struct ow_leader *leader, bool (*idle)(const struct ow_machine *machine));

#endif
