/** @file
 * The leader's messages to its peers with the progress of its jobs, which they show to their users.
 */
#ifndef OW_CORE_PEERS_JOB_SUMMARY_H
#define OW_CORE_PEERS_JOB_SUMMARY_H

struct ow_leader;

/** Sends the progress of all jobs of the leader, in as many messages as needed. No job is in two of them,
 * so peers of every version can apply each message on its own. */
void ow_job_summary_send(struct ow_leader *leader);

#endif
