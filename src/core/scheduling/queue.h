/* The order in which waiting runs are considered: by rank, guarantees of teams, SLOs and queue time. A
 * run of which nothing has started for too long is promoted, so that none starves. */
#ifndef OW_CORE_SCHEDULING_QUEUE_H
#define OW_CORE_SCHEDULING_QUEUE_H

#include "core/jobs/execution.h"

#include <glib.h>
#include <stdbool.h>

struct ow_leader;

/* The runs with waiting tasks in queue order, as struct ow_execution *; the caller frees the array. It also
   updates how long each run has missed tasks, and whether it starves or is old. */
GPtrArray *ow_queue_sorted(struct ow_leader *leader);
/* Whether the run was promoted to the front of the queue because it has waited too long. */
bool ow_queue_is_promoted(const struct ow_execution *execution);
/* The rank by which the run is queued: that of its job, or the most urgent one if it is promoted. */
int ow_queue_rank(const struct ow_execution *execution);

#endif
