/** @file
 * Periodic log lines on what this controller knows and does: its leadership, how user requests were answered
 * and what they wait for, the reads of the job table, and the key-value store's replies. They are the
 * evidence for an incident, so they must not grow with the number of requests.
 */
#ifndef OW_CORE_STATUS_LOG_H
#define OW_CORE_STATUS_LOG_H

struct ow_core;

/** Logs the lines if they are due. */
void ow_status_log_tick(struct ow_core *core);

#endif
