/** @file
 * The status that peers last reported in their hello messages, and when. Owns `struct ow_peer_status`;
 * all times are by the core's clock, in seconds.
 */
#ifndef OW_CORE_PEERS_PEER_STATUS_H
#define OW_CORE_PEERS_PEER_STATUS_H

#include <stdbool.h>

struct ow_peer_message;
struct ow_peer_status;

/** Creates a status without any peer; freed by ow_peer_status_free(). */
struct ow_peer_status *ow_peer_status_new(void);
/** Frees the status of all peers; NULL is not allowed. */
void ow_peer_status_free(struct ow_peer_status *status);
/** Records that a message of any kind has arrived from a peer. */
void ow_peer_status_note_message(struct ow_peer_status *status, double now);
/** Handles a message of kind OW_PEER_HELLO; the caller keeps ownership. */
void ow_peer_status_note_hello(struct ow_peer_status *status, const struct ow_peer_message *message,
                               double now);
/** The version of the message and record format that the controller of this name uses; 0: unknown. */
unsigned ow_peer_status_format(const struct ow_peer_status *status, const char *controller_name);
/** Whether the controller has reported less than `within_s` seconds ago that the key-value store answers it.
 */
bool ow_peer_status_store_answers(const struct ow_peer_status *status, const char *controller_name,
                                  double now, double within_s);
/** Whether any other controller has reported within the last 4 s that the key-value store answers it. */
bool ow_peer_status_any_store_answers(const struct ow_peer_status *status, double now);
/** Whether any message of a peer has arrived within the last 4 s. */
bool ow_peer_status_has_recent_message(const struct ow_peer_status *status, double now);
/** Whether a peer has reported less than `within_s` seconds ago that workers send it heartbeats. */
bool ow_peer_status_receives_heartbeats(const struct ow_peer_status *status, double now, double within_s);

#endif
