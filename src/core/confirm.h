/* Cancellations on their way to the coordinator. A user hears "cancelled" only when a coordinator that can
 * still end the tasks has taken the cancellation in: the record alone may be out of its reach. */
#ifndef OW_CORE_CONFIRM_H
#define OW_CORE_CONFIRM_H

#include <stdint.h>

struct ow_confirm;
struct ow_job;
struct ow_node;
struct ow_peer_message;

struct ow_confirm *ow_confirm_new(struct ow_node *node);
void ow_confirm_free(struct ow_confirm *confirm);
/* A user waits to hear of a job whose cancellation is committed; the answer comes with the next tick, or
 * soon. */
void ow_confirm_wait(struct ow_confirm *confirm, uint64_t request, int status, const struct ow_job *job);
/* Another controller tells of a committed cancellation. */
void ow_confirm_told(struct ow_confirm *confirm, const struct ow_peer_message *message);
/* A coordinator has taken one in. */
void ow_confirm_taken(struct ow_confirm *confirm, const struct ow_peer_message *message);
void ow_confirm_tick(struct ow_confirm *confirm);

#endif
