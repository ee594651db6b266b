/** @file
 * Starting a gang: all its members in one round, or none. While there is too little capacity it decides what
 * the gang holds, and which work is stopped for it.
 */
#ifndef OW_CORE_SCHEDULING_GANG_START_H
#define OW_CORE_SCHEDULING_GANG_START_H

struct ow_execution;
struct ow_leader;

/** Starts the gang if there is capacity for all of it, else updates its holds. */
void ow_gang_start_try(struct ow_leader *leader, struct ow_execution *execution);
/** Subtracts the execution's holds from the capacity that jobs behind it in the queue see. */
void ow_gang_start_apply_holds(struct ow_leader *leader, const struct ow_execution *execution);

#endif
