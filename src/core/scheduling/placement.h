/* Placement: where a task may run, how well a machine suits it, and starting it there. Slots are numbers of
 * tasks of one job that fit; costs are in seconds, or as good as, and lower is better. */
#ifndef OW_CORE_SCHEDULING_PLACEMENT_H
#define OW_CORE_SCHEDULING_PLACEMENT_H

#include "core/run.h"

/* A machine on which tasks of a run could be started. */
struct ow_candidate {
    struct ow_machine *machine;
    uint32_t slots;
    double cost;
    bool conflicted; /* another waiting gang holds room on it */
};

/* Whether the job's own rules (type, zone, spot) allow the machine. */
bool ow_placement_is_allowed(const struct ow_leader *leader, const struct ow_spec *spec,
                             const struct ow_machine *m);
/* Tasks that fit an empty machine of the type. */
uint32_t ow_placement_slots_on_empty(const struct ow_machine_type *type, const struct ow_amounts *need);
/* Whether tasks of the run may be placed there now, apart from the question of room. */
bool ow_placement_is_permitted(const struct ow_leader *leader, const struct ow_run *run,
                               const struct ow_machine *m);
/* Tasks of the job that fit the machine's free room. */
uint32_t ow_placement_slots(const struct ow_leader *leader, const struct ow_spec *spec,
                            const struct ow_machine *m);
/* The same if attempts used `used` of the machine. */
uint32_t ow_placement_slots_beside(const struct ow_leader *leader, const struct ow_spec *spec,
                                   const struct ow_machine *m, const struct ow_amounts *used);
/* Whether the run's tasks wait for cheap machines for now. */
bool ow_placement_waits_for_cheap(const struct ow_leader *leader, const struct ow_run *run);
/* The cost of running a task of the run there. The machine's type must be known. */
double ow_placement_cost(const struct ow_leader *leader, const struct ow_run *run,
                         const struct ow_machine *m);
/* Every machine with room for the run, cheapest first, as struct ow_candidate; the caller frees the array. */
GArray *ow_placement_candidates(struct ow_leader *leader, const struct ow_run *run);
/* How many more tasks the job's zone rules admit in the zone, given the attempts that may exist. */
uint32_t ow_placement_zone_admits(const struct ow_run *run, int zone);
/* The empty table of a leader's image demand, by image index; freed with g_array_free(). */
GArray *ow_placement_new_loads(void);
/* Begins a pass: computes the demand for each image. */
void ow_placement_weigh_images(struct ow_leader *leader);
/* Starts as many pending tasks of an array as there is room for. */
void ow_placement_start_array(struct ow_leader *leader, struct ow_run *run);
/* The zone where tasks that must stay together fit best. */
int ow_placement_best_zone(const struct ow_run *run, const GArray *candidates);
/* Plans attempt `number` of the task on the machine, and has it recorded; its launch follows the record. */
void ow_placement_start_task(struct ow_leader *leader, struct ow_run *run, uint32_t task, uint64_t number,
                             struct ow_machine *m);
/* The first task that is not done and has no attempt, or the run's `count` if there is none. */
uint32_t ow_placement_next_pending(struct ow_run *run);

#endif
