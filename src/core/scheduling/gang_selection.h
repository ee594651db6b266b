/* Selecting machines for all members of a gang at once, under the zone rules of its job. */
#ifndef OW_CORE_SCHEDULING_GANG_SELECTION_H
#define OW_CORE_SCHEDULING_GANG_SELECTION_H

#include "core/jobs/execution.h"

#include <glib.h>
#include <stdint.h>

struct ow_leader;
struct ow_machine;

/* A machine selected for some members of a gang. */
struct ow_gang_pick {
    struct ow_machine *machine;
    uint32_t members;
};

/* The empty selection, of struct ow_gang_pick; freed with g_array_free(). */
GArray *ow_gang_selection_new(void);
/* Selects the machines on which most members fit, then the cheapest, from struct ow_candidate in the order of
   their cost; `picks` is empty before. Returns how many members are left without a machine. */
uint32_t ow_gang_select(const struct ow_execution *execution, const GArray *candidates, GArray *picks);
/* Candidates as they would be after stopping what may be stopped for the gang, in the order of what that
   costs; the caller frees the array of struct ow_candidate. */
GArray *ow_gang_candidates_with_preemption(struct ow_leader *leader, const struct ow_execution *execution);

#endif
