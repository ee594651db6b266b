/** @file
 * The fleet: which instances exist by the cloud's list, and the termination of machines.
 *
 * It owns the deletions that are due and the names of deleted machines. Guards safety rule 2 for proof by an
 * acknowledged deletion of the instance; that a machine is missing in the list proves nothing.
 */
#ifndef OW_CORE_MACHINES_FLEET_H
#define OW_CORE_MACHINES_FLEET_H

#include <stdbool.h>

struct ow_fleet;
struct ow_leader;
struct ow_machine;

/** No machine has been listed or deleted yet; freed by ow_fleet_free(). */
struct ow_fleet *ow_fleet_new(void);
/** Frees it. */
void ow_fleet_free(struct ow_fleet *fleet);
/** Whether the cloud's list has been read completely. */
bool ow_fleet_is_listed(const struct ow_leader *leader);
/** Whether the machine of this name has been deleted: whatever still tells of it is late. */
bool ow_fleet_has_terminated(const struct ow_leader *leader, const char *name);
/** Asks the cloud for its list of machines when that is due. */
void ow_fleet_list(struct ow_leader *leader);
/** Queues the deletion of the machine, unless the cloud's rate limit is used up or a deletion is queued or
 * under way; nothing new is placed there from then on. @param why for the log */
void ow_fleet_terminate(struct ow_leader *leader, struct ow_machine *machine, const char *why);
/** Sends the deletions that are queued in one call, within the cloud's limits. */
void ow_fleet_send_terminations(struct ow_leader *leader);

#endif
