/** @file
 * Candidates (docs/design/paper.md): the machines that pass the filter (placement, price_filter), with
 * their slots and score.
 *
 * Input: the shortlist of the job's class. Result: struct ow_candidate in order of preference: those
 * without a conflict first, then the lowest score. Invariant: each candidate has a slot, now or after
 * preemption.
 */
#ifndef OW_CORE_SCHEDULING_CANDIDATES_H
#define OW_CORE_SCHEDULING_CANDIDATES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** A machine on which tasks of an execution can be started, now or after preemption. */
struct ow_candidate {
    struct ow_machine *machine; /**< not owned */
    uint32_t slots;             /**< how many tasks of the job fit */
    double score_s;             /**< see placement_score.h; lower is better */
    bool has_conflict;          /**< another waiting gang holds capacity on it */
};

/** An empty array of struct ow_candidate; freed with g_array_free(). */
GArray *ow_candidates_new(void);
/** The machines with free capacity for the execution, as struct ow_candidate, the best first; the caller
 * frees the array. Expensive machines are left out while price_filter.h applies. */
GArray *ow_candidates_find(struct ow_leader *leader, const struct ow_execution *execution);
/** The machines with capacity for the gang once all work that may be stopped for it is gone, lowest score
 * first. The score includes the loss by stopping that work; conflicts are ignored. The caller frees the
 * array of struct ow_candidate. */
GArray *ow_candidates_find_with_preemption(struct ow_leader *leader, const struct ow_execution *execution);
/** The zone in which the candidates have most slots, for tasks that must be in one zone; OW_NO_NAME if no
 * zone has any. */
int ow_candidates_best_zone(const struct ow_execution *execution, const GArray *candidates);

#endif
