/** @file
 * Selection of machines for a whole gang (algorithm 2 of docs/design/paper.md), under the zone rules of its
 * job.
 *
 * Input: candidates in order of preference. Result: the machines on which most members fit, and among such
 * selections the one with the lowest score. Invariant: no selection breaks the zone rules.
 */
#ifndef OW_CORE_SCHEDULING_GANG_SELECTION_H
#define OW_CORE_SCHEDULING_GANG_SELECTION_H

#include <glib.h>
#include <stdint.h>

struct ow_execution;
struct ow_machine;

/** A machine selected for one or more members of a gang. */
struct ow_gang_pick {
    struct ow_machine *machine; /**< not owned */
    uint32_t members;
};

/** An empty selection, of struct ow_gang_pick; freed with g_array_free(). */
GArray *ow_gang_selection_new(void);
/** Selects machines from `candidates` (struct ow_candidate) into `picks`, which must be empty. Returns the
 * number of members left without a machine. */
uint32_t ow_gang_selection_choose(const struct ow_execution *execution, const GArray *candidates,
                                  GArray *picks);

#endif
