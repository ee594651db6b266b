/* Capacity for arrays and services that fit nowhere: less urgent work is stopped for them. */
#ifndef OW_CORE_SCHEDULING_ARRAY_PREEMPTION_H
#define OW_CORE_SCHEDULING_ARRAY_PREEMPTION_H

struct ow_leader;
struct ow_execution;

/* Stops less urgent work for the run's waiting tasks, and holds that capacity for the rest of the cycle; in
   the next passes the job's rank keeps it. */
void ow_array_preempt(struct ow_leader *leader, struct ow_execution *execution);

#endif
