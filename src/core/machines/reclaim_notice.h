/** @file
 * Reclaim notices: the cloud's announcement that it will reclaim a machine at a certain time.
 */
#ifndef OW_CORE_MACHINES_RECLAIM_NOTICE_H
#define OW_CORE_MACHINES_RECLAIM_NOTICE_H

struct ow_leader;
struct ow_machine;

/** Applies the reclaim notice of the machine's newest heartbeat.
 * @param notice_s seconds until the cloud reclaims the machine; negative: no notice */
void ow_reclaim_notice_apply(struct ow_leader *leader, struct ow_machine *machine, double notice_s);
/** Stops the batch tasks on a machine with a notice that can save a checkpoint in the remaining time; other
 * tasks continue until the machine is reclaimed. (service_moves.h moves replicas of services.) */
void ow_reclaim_notice_checkpoint(struct ow_leader *leader, struct ow_machine *machine);

#endif
