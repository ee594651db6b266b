/** @file
 * Coordinator of one gang (docs/design/paper.md): collects candidates during a window, then commits all
 * members in one round or none; a gang that is short of capacity keeps its holds and its place in the queue.
 *
 * Input: candidates in score order and the gang's reservation. Result: all members started, or holds updated,
 * or work stopped to free capacity for all members. Invariants: nothing of a gang starts while an earlier
 * attempt at it may exist; work is stopped for a gang only if that frees capacity for every member.
 */
#ifndef OW_CORE_SCHEDULING_GANG_START_H
#define OW_CORE_SCHEDULING_GANG_START_H

struct ow_execution;
struct ow_leader;

/** Starts the gang if there is capacity for all members; otherwise updates its holds or stops less urgent
 * work for it. */
void ow_gang_start_try(struct ow_leader *leader, struct ow_execution *execution);
/** Subtracts the capacity that the gang holds for selected members from what later jobs in the queue may use:
 * all of them, or all except other gangs. Does nothing without a reservation. */
void ow_gang_start_subtract_holds(struct ow_leader *leader, const struct ow_execution *execution);

#endif
