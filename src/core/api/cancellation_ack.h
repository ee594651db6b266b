/* Cancellations on their way to the leader. A user is answered "cancelled" only when a leader that can
 * still end the tasks has acknowledged the cancellation: the record alone may be out of its reach. */
#ifndef OW_CORE_API_CANCELLATION_ACK_H
#define OW_CORE_API_CANCELLATION_ACK_H

#include <stdint.h>

struct ow_cancellation_ack;
struct ow_job;
struct ow_core;
struct ow_peer_message;

/* No cancellation waits yet. */
struct ow_cancellation_ack *ow_cancellation_ack_new(struct ow_core *core);
/* Frees it; requests that still wait get no answer. */
void ow_cancellation_ack_free(struct ow_cancellation_ack *cancellation_ack);
/* A user waits for the acknowledgement of a committed cancellation; the answer comes with the next tick, or
 * soon. */
void ow_cancellation_ack_wait(struct ow_cancellation_ack *cancellation_ack, uint64_t request, int status,
                              const struct ow_job *job);
/* Another controller announces a committed cancellation. */
void ow_cancellation_ack_requested(struct ow_cancellation_ack *cancellation_ack,
                                   const struct ow_peer_message *message);
/* A leader has acknowledged one. */
void ow_cancellation_ack_received(struct ow_cancellation_ack *cancellation_ack,
                                  const struct ow_peer_message *message);
/* Acknowledges, answers, refuses and sends again what is due. */
void ow_cancellation_ack_tick(struct ow_cancellation_ack *cancellation_ack);

#endif
