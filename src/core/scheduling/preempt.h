/** @file
 * Preempt: stopping running work to free capacity for other work, the smallest loss first.
 *
 * Input: an execution and a machine. Result: slots as they would be without what may be stopped, the loss in
 * seconds of work, or attempts to be stopped. Invariants: only less urgent work is stopped, or, for a team
 * that takes back its quota, work of the same rank of a team that borrows; never what a starving job has
 * started; nothing is stopped where that does not free as many slots as are asked for.
 */
#ifndef OW_CORE_SCHEDULING_PREEMPT_H
#define OW_CORE_SCHEDULING_PREEMPT_H

#include "core/jobs/job.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** The most urgent rank whose work may be stopped for the job. */
int ow_preempt_top_rank(const struct ow_leader *leader, const struct ow_job_spec *spec);
/** An upper bound of the slots that stopping work of `top_rank` and less urgent ranks could free, without a
 * look at each attempt. */
uint32_t ow_preempt_slots_upper_bound(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                      const struct ow_machine *machine, int top_rank);
/** Slots for the job on the machine if all work that may be stopped for it were gone. */
uint32_t ow_preempt_slots(const struct ow_leader *leader, const struct ow_execution *execution,
                          const struct ow_machine *machine);
/** Stops the work there with the smallest loss that frees capacity for `slots` tasks; false, and nothing is
 * stopped, if none can. */
bool ow_preempt_free_slots(struct ow_leader *leader, const struct ow_execution *execution,
                           struct ow_machine *machine, uint32_t slots);
/** The loss by freeing capacity for `slots` tasks there; INFINITY if that is impossible. */
double ow_preempt_loss_s(const struct ow_leader *leader, const struct ow_execution *execution,
                         const struct ow_machine *machine, uint32_t slots);

#endif
