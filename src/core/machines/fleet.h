/** @file
 * The fleet: reads the cloud's list of instances and terminates machines.
 *
 * It owns the queue of deletions and the names of deleted machines. Guards safety rule 2 for proof by an
 * acknowledged deletion of the instance; absence of a machine from the list proves nothing.
 */
#ifndef OW_CORE_MACHINES_FLEET_H
#define OW_CORE_MACHINES_FLEET_H

#include <stdbool.h>

struct ow_fleet;
struct ow_leader;
struct ow_machine;

/** Creates a fleet without listed or deleted machines; freed by ow_fleet_free(). */
struct ow_fleet *ow_fleet_new(void);
/** Frees the fleet, but not the machines. @param fleet must not be NULL */
void ow_fleet_free(struct ow_fleet *fleet);
/** Whether the cloud's list has been read completely at least once. */
bool ow_fleet_is_listed(const struct ow_leader *leader);
/** Whether the machine of this name has been deleted; messages and lists that still name it are out of date.
 */
bool ow_fleet_has_terminated(const struct ow_leader *leader, const char *name);
/** Requests the next page of the cloud's list if that is due and the rate limit allows it. */
void ow_fleet_list(struct ow_leader *leader);
/** Queues the deletion of the machine, unless the cloud's rate limit is used up or a deletion is already
 * queued or in flight; nothing new is placed on the machine from then on. @param why reason, for the log */
void ow_fleet_terminate(struct ow_leader *leader, struct ow_machine *machine, const char *why);
/** Sends queued deletions in one call, up to the cloud's limit per call, if the rate limit allows it. */
void ow_fleet_send_terminations(struct ow_leader *leader);

#endif
