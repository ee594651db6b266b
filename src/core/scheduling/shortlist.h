/** @file
 * Prefilter (ours): for each class, the machines with capacity for the least that any of its waiting tasks
 * needs.
 *
 * Input: the waiting executions and the usable machines as the cycle begins. Result: lists that are computed
 * at most once a cycle, so that a cycle costs machines times classes, not machines times jobs.
 * Invariant: no machine with capacity for a waiting job is missing from the list of its class, except what is
 * freed after the list was made: capacity else only shrinks during a cycle, and the next one finds the rest.
 */
#ifndef OW_CORE_SCHEDULING_SHORTLIST_H
#define OW_CORE_SCHEDULING_SHORTLIST_H

#include <glib.h>

struct ow_leader;

/** The empty lists of a leader, by class index; freed with g_array_free(). */
GArray *ow_shortlists_new(void);
/** Begins a cycle: drops the lists of the previous one and notes what the waiting executions need. */
void ow_shortlists_begin_cycle(struct ow_leader *leader);
/** Machines (struct ow_machine *) that may have capacity for a job of the class. Valid until the next cycle.
 */
const GPtrArray *ow_shortlist_find(struct ow_leader *leader, int class_index);
/** The same, counting capacity that could be freed by stopping work. */
const GPtrArray *ow_shortlist_find_with_preemption(struct ow_leader *leader, int class_index);

#endif
