/** @file
 * Filter: on which machines tasks of a job may run, and how many fit. A slot is capacity for one task of
 * the job.
 *
 * Input: a job and a machine, with its used and held capacity, and the attempts of the job that may exist.
 * Result: yes or no, and slots. Invariants: no state is changed, and an attempt counts against capacity and
 * zone rules (safety rule 6) for as long as it may exist.
 */
#ifndef OW_CORE_SCHEDULING_PLACEMENT_H
#define OW_CORE_SCHEDULING_PLACEMENT_H

#include "core/jobs/job.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_execution;
struct ow_leader;
struct ow_machine;
struct ow_machine_type;
struct ow_resources;

/** Whether the job's own rules (type, zone, spot) allow the machine, whatever its state and capacity. */
bool ow_placement_is_allowed(const struct ow_job_spec *spec, const struct ow_machine *machine);
/** Whether tasks of the execution may be placed on the machine now, capacity aside: the machine is
 * usable, the job's rules allow it, and no task of the job has failed there recently. */
bool ow_placement_is_eligible(const struct ow_leader *leader, const struct ow_execution *execution,
                              const struct ow_machine *machine);
/** Number of tasks with such a need that fit on an empty machine of the type. */
uint32_t ow_placement_slots_on_empty(const struct ow_machine_type *type, const struct ow_resources *need);
/** Number of the job's tasks that fit in the machine's free capacity: what attempts, unknown tasks, holds
 * and the GPU reserve leave. 0 while the machine's type is unknown. */
uint32_t ow_placement_slots(const struct ow_leader *leader, const struct ow_job_spec *spec,
                            const struct ow_machine *machine);
/** Like ow_placement_slots(), but as if attempts used `used` of the machine. */
uint32_t ow_placement_slots_with_usage(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                       const struct ow_machine *machine, const struct ow_resources *used);
/** How many more tasks the job's zone rules admit in the zone, given the attempts that may exist. The job's
 * number of tasks if it has no zone rules. */
uint32_t ow_placement_zone_admits(const struct ow_execution *execution, int zone);

#endif
