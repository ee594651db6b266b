/** @file
 * Why a job waits, as text for its team.
 *
 * Input: a waiting execution, after it has been scheduled. Result: the waiting reason of its job, which is
 * returned to users who poll it. The module takes no decisions. The texts are part of the interface to
 * users.
 */
#ifndef OW_CORE_SCHEDULING_REASON_H
#define OW_CORE_SCHEDULING_REASON_H

#include <glib.h>

struct ow_execution;
struct ow_leader;

/** An empty cache of machine counts by job demands; owned by the leader, freed with g_array_free(). */
GArray *ow_reason_new_machine_counts(void);
/** Begins a cycle: clears the cached machine counts of the previous one. */
void ow_reason_begin_cycle(struct ow_leader *leader);
/** Sets the waiting reason of the execution's job, or clears it if no task is pending. */
void ow_reason_update(struct ow_leader *leader, struct ow_execution *execution);

#endif
