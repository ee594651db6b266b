/** @file
 * Prefilter: for each class, the machines with capacity for the smallest need among its waiting tasks.
 *
 * Input: the waiting executions and the usable machines at the beginning of the cycle. Result: lists that
 * are computed at most once a cycle, so that a cycle costs machines times classes, not machines times jobs.
 *
 * Invariant: no machine with capacity for a waiting job is missing from the list of its class, except for
 * capacity freed after the list was computed: free capacity otherwise only shrinks during a cycle, and the
 * next cycle includes it.
 */
#ifndef OW_CORE_SCHEDULING_SHORTLIST_H
#define OW_CORE_SCHEDULING_SHORTLIST_H

#include <glib.h>

struct ow_leader;

/** An empty array of shortlists, by class index; owned by the leader, freed with g_array_free(). */
GArray *ow_shortlists_new(void);
/** Begins a cycle: drops the lists of the previous one and computes the smallest needs of the waiting
 * executions. */
void ow_shortlists_begin_cycle(struct ow_leader *leader);
/** The machines (struct ow_machine *, not owned) that may have free capacity for a job of the class;
 * computed on the first call in a cycle. Valid until the next cycle. */
const GPtrArray *ow_shortlist_find(struct ow_leader *leader, int class_index);
/** Like ow_shortlist_find(), but also counts capacity that could be freed by stopping work. */
const GPtrArray *ow_shortlist_find_with_preemption(struct ow_leader *leader, int class_index);

#endif
