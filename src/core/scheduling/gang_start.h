/** @file
 * The paper's coordinator for one gang: collect candidates in a window, then commit all members in one round
 * or none; a gang that is short keeps its holds and its place.
 *
 * Input: candidates in score order and the gang's reservation. Result: all members started, or holds updated,
 * or work stopped for all members. Invariants: nothing of a gang starts while an earlier attempt at it may
 * exist; work is stopped for a gang only if that makes capacity for every member.
 */
#ifndef OW_CORE_SCHEDULING_GANG_START_H
#define OW_CORE_SCHEDULING_GANG_START_H

struct ow_execution;
struct ow_leader;

/** Starts the gang if there is capacity for all of it, else updates its holds. */
void ow_gang_start_try(struct ow_leader *leader, struct ow_execution *execution);
/** Subtracts what the gang has selected and holds from the capacity that jobs behind it in the queue see:
 * from that of all of them, or from that of all but other gangs. */
void ow_gang_start_subtract_holds(struct ow_leader *leader, const struct ow_execution *execution);

#endif
