/** @file
 * Preemption: stopping running work to free capacity for other work, the smallest loss first.
 *
 * Input: an execution and a machine. Result: slots as they would be without the work that may be stopped,
 * the loss in seconds of work, or attempts to be stopped. Invariants: only less urgent work is stopped, or,
 * for a team that reclaims its quota, work of the same rank of a team that borrows; what a promoted job has
 * started is never stopped, replicas excepted; nothing is stopped where that does not free as many slots as
 * are asked for.
 */
#ifndef OW_CORE_SCHEDULING_PREEMPT_H
#define OW_CORE_SCHEDULING_PREEMPT_H

#include "core/jobs/job.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** The most urgent rank whose work may be stopped for the job: its own if its team may reclaim its
 * guarantee, else the next less urgent one. May be one past OW_RANK_LOW. */
int ow_preempt_top_rank(const struct ow_leader *leader, const struct ow_job_spec *spec);
/** An upper bound of the slots that stopping work of `top_rank` and less urgent ranks could free, computed
 * from the totals by rank without visiting each attempt. */
uint32_t ow_preempt_slots_upper_bound(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                      const struct ow_machine *machine, int top_rank);
/** Slots for the execution on the machine if all work that may be stopped for it were gone. */
uint32_t ow_preempt_slots(const struct ow_leader *leader, const struct ow_execution *execution,
                          const struct ow_machine *machine);
/** Stops the work on the machine with the smallest loss that frees capacity for `slots` tasks. Returns
 * false and stops nothing if that is impossible. Tasks of a gang are only stopped all together. */
bool ow_preempt_free_slots(struct ow_leader *leader, const struct ow_execution *execution,
                           struct ow_machine *machine, uint32_t slots);
/** The loss, in seconds, by freeing capacity for `slots` tasks on the machine; INFINITY if that is
 * impossible. */
double ow_preempt_loss_s(const struct ow_leader *leader, const struct ow_execution *execution,
                         const struct ow_machine *machine, uint32_t slots);

#endif
