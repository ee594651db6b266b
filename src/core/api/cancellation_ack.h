/** @file
 * Tracks committed cancellations until a leader has acknowledged them. The module owns the requests of users
 * that wait for the acknowledgement, and sends the cancellation to the leader until it is acknowledged.
 *
 * Invariant: a user is answered "cancelled" only once a leader that can still end the tasks has acknowledged
 * the cancellation. The record alone is not enough: a leader that cannot reach the key-value store does not
 * know of it, and could still start a task of the job. Only acknowledgements with a fencing token not below
 * the one in the record count: a leader with a lower token was deposed before the commit.
 */
#ifndef OW_CORE_API_CANCELLATION_ACK_H
#define OW_CORE_API_CANCELLATION_ACK_H

#include <stdint.h>

struct ow_cancellation_ack;
struct ow_job;
struct ow_core;
struct ow_peer_message;

/** Creates a tracker without open cancellations; freed by ow_cancellation_ack_free(). `core` must outlive it.
 */
struct ow_cancellation_ack *ow_cancellation_ack_new(struct ow_core *core);
/** Frees the tracker; requests that still wait get no answer. NULL is not allowed. */
void ow_cancellation_ack_free(struct ow_cancellation_ack *acks);
/** Makes a user's request wait for the acknowledgement of the job's committed cancellation. A tick answers
 * it: with `status` (HTTP) and the state of the job after the acknowledgement, or with status 503 after a
 * timeout. */
void ow_cancellation_ack_wait(struct ow_cancellation_ack *acks, uint64_t request, int status,
                              const struct ow_job *job);
/** Handles OW_PEER_CANCELLATION: another controller announces a committed cancellation. Ignored unless this
 * controller leads. */
void ow_cancellation_ack_handle_cancellation(struct ow_cancellation_ack *acks,
                                             const struct ow_peer_message *message);
/** Handles OW_PEER_CANCELLATION_ACK: a leader has acknowledged a cancellation. */
void ow_cancellation_ack_handle_ack(struct ow_cancellation_ack *acks, const struct ow_peer_message *message);
/** Logs one line about the open cancellations, and on a leader what the oldest of them waits for; nothing if
 * there are none. */
void ow_cancellation_ack_log_metrics(const struct ow_cancellation_ack *acks);
/** Acknowledges cancellations if this controller leads, answers users, and sends open cancellations to the
 * leader again when due. */
void ow_cancellation_ack_tick(struct ow_cancellation_ack *acks);

#endif
