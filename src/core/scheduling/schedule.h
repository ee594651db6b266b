/* The scheduling cycle: what is started or held for each waiting run, in the order of the queue. It also
 * completes jobs whose tasks are over. */
#ifndef OW_CORE_SCHEDULING_SCHEDULE_H
#define OW_CORE_SCHEDULING_SCHEDULE_H

struct ow_leader;

/* Compares the open jobs with their runs: creates runs, stops cancelled ones, and has the end of completed
   jobs recorded. */
void ow_schedule_jobs(struct ow_leader *leader);
/* One pass over the queue. ow_schedule_jobs() must have been called in the same tick. */
void ow_schedule_cycle(struct ow_leader *leader);

#endif
