/** @file
 * The leader's message to the other controllers of how its jobs fare: they show it to users who ask there.
 */
#ifndef OW_CORE_PEERS_JOB_SUMMARY_H
#define OW_CORE_PEERS_JOB_SUMMARY_H

struct ow_leader;

/** Sends how all jobs of the leader fare, in as many messages as it takes. Each tells of other jobs, and
 * every version takes in one after the other. */
void ow_job_summary_send(struct ow_leader *leader);

#endif
