/** @file
 * Preemption for arrays and services: stops less urgent work for pending tasks that fit nowhere.
 *
 * Input: an execution with pending tasks, after all that fit have been started. Result: attempts to be
 * stopped, and the capacity that they free held until the end of the cycle; in later cycles the job's place
 * in the queue keeps it. Invariants: nothing is stopped for arrays with zone rules, and replicas stay
 * apart.
 */
#ifndef OW_CORE_SCHEDULING_ARRAY_PREEMPTION_H
#define OW_CORE_SCHEDULING_ARRAY_PREEMPTION_H

struct ow_execution;
struct ow_leader;

/** Stops work for the execution's pending tasks, as many as the team's limit admits, and holds the
 * capacity. Does nothing where preemption is not allowed. */
void ow_array_preempt(struct ow_leader *leader, struct ow_execution *execution);

#endif
