/** @file
 * Committed cancellations until a leader has acknowledged them. The module owns the requests of users that
 * wait for that, and sends the cancellation to the leader until it has.
 *
 * Invariant: a user is answered "cancelled" only once a leader that can still end the tasks has acknowledged
 * the cancellation. The record alone is not enough: a leader that cannot reach the key-value store does not
 * know of it, and could still start a task of the job. Only a leader counts whose fencing token is not below
 * the one that the record names: a leader that was deposed before the commit decides nothing any more.
 */
#ifndef OW_CORE_API_CANCELLATION_ACK_H
#define OW_CORE_API_CANCELLATION_ACK_H

#include <stdint.h>

struct ow_cancellation_ack;
struct ow_job;
struct ow_core;
struct ow_peer_message;

/** No cancellation waits yet; freed by ow_cancellation_ack_free(). `core` must outlive it. */
struct ow_cancellation_ack *ow_cancellation_ack_new(struct ow_core *core);
/** Frees it; requests that still wait get no answer. */
void ow_cancellation_ack_free(struct ow_cancellation_ack *acks);
/** A user's request waits for the acknowledgement of the job's committed cancellation. It is answered by a
 * tick: with `status` (HTTP) and the state of the job once that has come, or after a short time with status
 * 503. */
void ow_cancellation_ack_wait(struct ow_cancellation_ack *acks, uint64_t request, int status,
                              const struct ow_job *job);
/** Another controller announces a committed cancellation (OW_PEER_CANCELLATION). Only a leader takes notice.
 */
void ow_cancellation_ack_handle_cancellation(struct ow_cancellation_ack *acks,
                                             const struct ow_peer_message *message);
/** A leader has acknowledged a cancellation (OW_PEER_CANCELLATION_ACK). */
void ow_cancellation_ack_handle_ack(struct ow_cancellation_ack *acks, const struct ow_peer_message *message);
/** Does what is due: acknowledges if we lead, answers users, sends cancellations to the leader again. */
void ow_cancellation_ack_tick(struct ow_cancellation_ack *acks);

#endif
