/** @file
 * Headroom: idle machines kept ready for classes whose SLOs leave no time for a machine to boot.
 */
#ifndef OW_CORE_MACHINES_HEADROOM_H
#define OW_CORE_MACHINES_HEADROOM_H

#include <glib.h>
#include <stdbool.h>

struct ow_leader;
struct ow_machine;

/** Appends the machines to provision for such classes to `plan` (struct ow_expected_machine), at most
 * `*most`, which is reduced accordingly. */
void ow_headroom_plan(struct ow_leader *leader, GArray *plan, unsigned *most);
/** The idle machines (struct ow_machine *) that no such class needs, most expensive first; the caller frees
 * the array. */
GPtrArray *ow_headroom_unneeded(struct ow_leader *leader, bool (*idle)(const struct ow_machine *machine));

#endif
