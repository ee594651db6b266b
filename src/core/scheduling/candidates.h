/** @file
 * The paper's candidates: the machines that pass the filter (placement, price_filter), with their slots and
 * score.
 *
 * Input: the shortlist of the job's class. Result: struct ow_candidate in the order in which they are to be
 * taken: those without a conflict first, then the lowest score. Invariant: each candidate has a slot, now or
 * after preemption.
 */
#ifndef OW_CORE_SCHEDULING_CANDIDATES_H
#define OW_CORE_SCHEDULING_CANDIDATES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** A machine on which tasks of an execution could be started. */
struct ow_candidate {
    struct ow_machine *machine; /**< not owned */
    uint32_t slots;             /**< how many tasks of the job fit */
    double score_s;             /**< see placement_score.h: lower is better */
    bool has_conflict;          /**< another waiting gang holds capacity on it */
};

/** An empty list of struct ow_candidate; freed with g_array_free(). */
GArray *ow_candidates_new(void);
/** Every machine with capacity for the execution, the best first, as struct ow_candidate; the caller frees
 * the array. */
GArray *ow_candidates_find(struct ow_leader *leader, const struct ow_execution *execution);
/** Machines as they would be after stopping what may be stopped for the gang, lowest score first; what that
 * loses is part of the score. Conflicts don't count. The caller frees the array of struct ow_candidate. */
GArray *ow_candidates_find_with_preemption(struct ow_leader *leader, const struct ow_execution *execution);
/** The zone with most slots for tasks that must stay together; OW_NO_NAME if no zone has any. */
int ow_candidates_best_zone(const struct ow_execution *execution, const GArray *candidates);

#endif
