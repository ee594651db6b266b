/* The fleet of provisioned machines: the cloud's list of them, and their return. It owns the deletions that
 * are due and the names of deleted machines. */
#ifndef OW_CORE_MACHINES_FLEET_H
#define OW_CORE_MACHINES_FLEET_H

struct ow_leader;
struct ow_machine;

/* Asks the cloud for its list of machines when that is due. */
void ow_fleet_list(struct ow_leader *leader);
/* Marks machines for return that have been idle for long enough and that no class needs ready. */
void ow_fleet_scale_in(struct ow_leader *leader);
/* Marks the machine for return to the cloud; `why` is for the log. */
void ow_fleet_terminate(struct ow_leader *leader, struct ow_machine *machine, const char *why);
/* Sends all deletions that are due in one call. */
void ow_fleet_send_terminations(struct ow_leader *leader);

#endif
