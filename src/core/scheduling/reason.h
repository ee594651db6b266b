/** @file
 * Why a job waits, in words for its team (ours).
 *
 * Input: a waiting execution, after it has been scheduled. Result: the reason of its job, which polls show.
 * It decides nothing. The texts are part of the interface to users.
 */
#ifndef OW_CORE_SCHEDULING_REASON_H
#define OW_CORE_SCHEDULING_REASON_H

#include <glib.h>

struct ow_execution;
struct ow_leader;

/** The empty cache of a leader, of machine counts by demand; freed with g_array_free(). */
GArray *ow_reason_new_machine_counts(void);
/** Begins a cycle: drops the machine counts of the previous one. */
void ow_reason_begin_cycle(struct ow_leader *leader);
/** Sets the reason of the execution's job, or clears it if no task waits. */
void ow_reason_update(struct ow_leader *leader, struct ow_execution *execution);

#endif
