/* How well a machine suits a job. Costs are in seconds, or taken as such, and lower is better. */
#ifndef OW_CORE_SCHEDULING_PLACEMENT_COST_H
#define OW_CORE_SCHEDULING_PLACEMENT_COST_H

#include "core/jobs/execution.h"

#include <stdbool.h>

struct ow_leader;
struct ow_machine;

/* The cost of running a task of the run there. The machine's type must be known. */
double ow_placement_cost(const struct ow_leader *leader, const struct ow_execution *execution,
                         const struct ow_machine *machine);
/* Whether the run's tasks wait for cheap machines for now. */
bool ow_placement_waits_for_cheap(const struct ow_leader *leader, const struct ow_execution *execution);
/* Whether classes have SLOs, and none of them has proper use for such machines: they cost what work
   without SLOs is not worth while there are cheaper ones of their type. */
bool ow_placement_is_expensive(const struct ow_leader *leader, const struct ow_machine *machine);

#endif
