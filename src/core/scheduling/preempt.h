/* Preemption: stopping running work to free capacity for more urgent work, the cheapest loss first. Losses
 * are in seconds of work. */
#ifndef OW_CORE_SCHEDULING_PREEMPT_H
#define OW_CORE_SCHEDULING_PREEMPT_H

#include "core/jobs/execution.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_leader;
struct ow_machine;

/* The most urgent rank whose work may be stopped for the job. */
int ow_preempt_top_rank(const struct ow_leader *leader, const struct ow_job_spec *spec);
/* An upper bound of the slots that stopping work of rank `from` and less urgent ranks could free, without a
   look at each attempt. */
uint32_t ow_preempt_slots_upper_bound(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                      const struct ow_machine *machine, int from);
/* Slots for the job on the machine if all work that may be stopped for it were gone. */
uint32_t ow_preempt_slots(const struct ow_leader *leader, const struct ow_execution *execution,
                          const struct ow_machine *machine);
/* Stops the cheapest work there that frees capacity for `slots` tasks; false, and nothing is stopped, if none
   can. */
bool ow_preempt_make_room(struct ow_leader *leader, const struct ow_execution *execution,
                          struct ow_machine *machine, uint32_t slots);
/* The loss by freeing capacity for `slots` tasks there; INFINITY if that is impossible. */
double ow_preempt_loss_s(const struct ow_leader *leader, const struct ow_execution *execution,
                         const struct ow_machine *machine, uint32_t slots);

#endif
