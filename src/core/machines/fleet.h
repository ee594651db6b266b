/* The fleet of provisioned machines: the cloud's list of them, and their return. It owns the deletions that
 * are due and the names of deleted machines. */
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
/* Asks the cloud for its list of machines when that is due. */
void ow_fleet_list(struct ow_leader *leader);
/* Marks machines for return that have been idle for long enough and that no class needs ready. */
void ow_fleet_scale_in(struct ow_leader *leader);
/* Marks the machine for return to the cloud; `why` is for the log. */
void ow_fleet_terminate(struct ow_leader *leader, struct ow_machine *machine, const char *why);
/* Sends all deletions that are due in one call. */
void ow_fleet_send_terminations(struct ow_leader *leader);

#endif
