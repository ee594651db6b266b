/** @file
 * Reclaim notices: the cloud's warning that it takes a machine back at a certain time.
 */
#ifndef OW_CORE_MACHINES_RECLAIM_NOTICE_H
#define OW_CORE_MACHINES_RECLAIM_NOTICE_H

struct ow_leader;
struct ow_machine;

/** Takes in what the machine's newest heartbeat says: the cloud reclaims it in `notice_s` seconds, or not, if
 * that is negative. */
void ow_reclaim_notice_apply(struct ow_leader *leader, struct ow_machine *machine, double notice_s);
/** Stops batch tasks on a machine with a notice that can save a checkpoint in the time that is left: other
 * tasks run on to the end. (Replicas of services are moved by service_moves.h.) */
void ow_reclaim_notice_checkpoint(struct ow_leader *leader, struct ow_machine *machine);

#endif
