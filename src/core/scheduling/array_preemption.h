/** @file
 * Preemption for arrays and services that fit nowhere (ours): less urgent work is stopped for them.
 *
 * Input: an execution with pending tasks, after all that fit have been started. Result: attempts to be
 * stopped, and the capacity that they free held for the rest of the cycle; in the next ones the job's rank
 * keeps it. Invariants: nothing is stopped for arrays with zone rules, and replicas stay apart.
 */
#ifndef OW_CORE_SCHEDULING_ARRAY_PREEMPTION_H
#define OW_CORE_SCHEDULING_ARRAY_PREEMPTION_H

struct ow_execution;
struct ow_leader;

/** Stops less urgent work for the execution's waiting tasks, where the rules allow it. */
void ow_array_preempt(struct ow_leader *leader, struct ow_execution *execution);

#endif
