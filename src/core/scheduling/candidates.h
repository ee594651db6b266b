/* Candidates: the machines on which tasks of a run could be started now, cheapest first. */
#ifndef OW_CORE_SCHEDULING_CANDIDATES_H
#define OW_CORE_SCHEDULING_CANDIDATES_H

#include "core/jobs/execution.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_leader;
struct ow_machine;

/* A machine on which tasks of a run could be started. */
struct ow_candidate {
    struct ow_machine *machine;
    uint32_t slots;
    double cost;
    bool conflicted; /* another waiting gang holds capacity on it */
};

/* Every machine with capacity for the run, cheapest first, as struct ow_candidate; the caller frees the
   array. */
GArray *ow_candidates_find(struct ow_leader *leader, const struct ow_execution *execution);
/* The zone with most slots for tasks that must stay together; OW_NO_NAME if no zone has any. */
int ow_candidates_best_zone(const struct ow_execution *execution, const GArray *candidates);

#endif
