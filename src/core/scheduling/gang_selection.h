/** @file
 * The paper's selection (algorithm 2) for a whole gang: a machine for each member, under the zone rules of
 * its job.
 *
 * Input: candidates in the order in which they are to be taken. Result: the machines on which most members
 * fit, and among such choices the one with the lowest score. Invariant: no choice breaks the zone rules.
 */
#ifndef OW_CORE_SCHEDULING_GANG_SELECTION_H
#define OW_CORE_SCHEDULING_GANG_SELECTION_H

#include <glib.h>
#include <stdint.h>

struct ow_execution;
struct ow_machine;

/** A machine selected for some members of a gang. */
struct ow_gang_pick {
    struct ow_machine *machine; /**< not owned */
    uint32_t members;
};

/** The empty selection, of struct ow_gang_pick; freed with g_array_free(). */
GArray *ow_gang_selection_new(void);
/** Selects machines from struct ow_candidate into `picks`, which is empty before. Returns how many members
 * are left without a machine. */
uint32_t ow_gang_selection_choose(const struct ow_execution *execution, const GArray *candidates,
                                  GArray *picks);

#endif
