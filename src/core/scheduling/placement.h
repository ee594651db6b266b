/* Placement: where a task may run, and starting it there. Slots are numbers of tasks of one job that fit. */
#ifndef OW_CORE_SCHEDULING_PLACEMENT_H
#define OW_CORE_SCHEDULING_PLACEMENT_H

#include "core/jobs/execution.h"
#include "model/cloud.h"
#include "model/resources.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_leader;
struct ow_machine;

/* Whether the job's own rules (type, zone, spot) allow the machine. */
bool ow_placement_is_allowed(const struct ow_leader *leader, const struct ow_job_spec *spec,
                             const struct ow_machine *machine);
/* Whether tasks of the run may be placed there now, apart from the question of capacity. */
bool ow_placement_is_permitted(const struct ow_leader *leader, const struct ow_execution *execution,
                               const struct ow_machine *machine);
/* Tasks that fit an empty machine of the type. */
uint32_t ow_placement_slots_on_empty(const struct ow_machine_type *type, const struct ow_resources *need);
/* Tasks of the job that fit the machine's free capacity. */
uint32_t ow_placement_slots(const struct ow_leader *leader, const struct ow_job_spec *spec,
                            const struct ow_machine *machine);
/* The same if attempts used `used` of the machine. */
uint32_t ow_placement_slots_beside(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                   const struct ow_machine *machine, const struct ow_resources *used);
/* How many more tasks the job's zone rules admit in the zone, given the attempts that may exist. */
uint32_t ow_placement_zone_admits(const struct ow_execution *execution, int zone);
/* The first task that is not done and has no attempt, or the run's `count` if there is none. */
uint32_t ow_placement_next_pending(struct ow_execution *execution);
/* Plans attempt `number` of the task on the machine, and has it recorded; its launch follows the record. */
void ow_placement_start_task(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                             uint64_t number, struct ow_machine *machine);

#endif
