/* The scheduling pass: the order of the queue, and what is started or held for each waiting run in turn. It
 * also completes jobs whose tasks are over. */
#ifndef OW_CORE_SCHEDULING_SCHEDULE_H
#define OW_CORE_SCHEDULING_SCHEDULE_H

#include <glib.h>

struct ow_leader;

/* Compares the open jobs with their runs: creates runs, stops cancelled ones, and has the end of completed
   jobs recorded. */
void ow_schedule_jobs(struct ow_leader *leader);
/* One pass over the queue. ow_schedule_jobs() must have been called in the same tick. */
void ow_schedule_pass(struct ow_leader *leader);
/* The runs with waiting tasks in queue order, as struct ow_run *; the caller frees the array. */
GPtrArray *ow_schedule_queue(struct ow_leader *leader);

#endif
