/** @file
 * The scheduling cycle: what is started, held or stopped for each waiting execution, in the order of the
 * queue.
 *
 * Its steps are modules of their own:
 *
 *     before    job_lifecycle, gpu_reserve, image_demand, and what jobs/quota knows of the cycle
 *     order     queue, with promotion
 *     filter    shortlist, placement, price_filter: all for candidates
 *     score     placement_score: for candidates, too
 *     reserve   reservation and gang_selection, led by gang_start: gangs alone
 *     bind      bind, led by gang_start, array_start and service_replicas
 *     preempt   preempt, led by gang_start and array_preemption
 *     explain   reason
 *
 * Input: jobs, executions and machines. Result: attempts that are planned or to be stopped, and holds; their
 * records, launches and stop commands follow outside of the cycle. Invariants: a cycle sees the state of one
 * moment; what it gives to one execution is not seen as free by those after it.
 */
#ifndef OW_CORE_SCHEDULING_SCHEDULE_H
#define OW_CORE_SCHEDULING_SCHEDULE_H

struct ow_leader;

/** Runs one scheduling cycle. */
void ow_schedule_cycle(struct ow_leader *leader);

#endif
