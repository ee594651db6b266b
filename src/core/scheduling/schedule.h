/** @file
 * The scheduling cycle: decides, in queue order, what is started, held or stopped for each waiting execution.
 *
 * Its steps are modules of their own:
 *
 *     prepare   job_lifecycle, gpu_reserve, image_demand and jobs/quota
 *     order     queue, with promotion
 *     filter    shortlist, placement and price_filter, called by candidates
 *     score     placement_score, called by candidates
 *     reserve   reservation and gang_selection, called by gang_start: for gangs only
 *     bind      bind, called by gang_start, array_start and service_replicas
 *     preempt   preempt, called by gang_start and array_preemption
 *     explain   reason
 *
 * Gangs are scheduled by the algorithm of docs/design/paper.md: candidates, the score by which they are
 * selected, gang_selection, reservation and gang_start implement it. Not from the paper are array_preemption,
 * array_start, deadline, gang_hold_priority, gpu_reserve, image_demand, price_filter, promotion,
 * quota_reclaim, reason and shortlist.
 *
 * Input: jobs, executions and machines. Result: attempts that are planned or to be stopped, and holds; their
 * records, launches and stop commands follow outside the cycle. Invariants: the whole cycle is computed from
 * the state at one time; capacity given to one execution is not free for those after it.
 */
#ifndef OW_CORE_SCHEDULING_SCHEDULE_H
#define OW_CORE_SCHEDULING_SCHEDULE_H

struct ow_leader;

/** Runs one scheduling cycle. Called when a cycle is due; it also creates and ends executions
 * (job_lifecycle.h). */
void ow_schedule_cycle(struct ow_leader *leader);

#endif
