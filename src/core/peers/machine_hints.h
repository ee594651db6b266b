/** @file
 * The addresses of machines that the leader last announced, so that the next leader can send commands to them
 * before it has received the cloud's list. The list arrives in one message, or in parts, which are used only
 * once all have arrived.
 */
#ifndef OW_CORE_PEERS_MACHINE_HINTS_H
#define OW_CORE_PEERS_MACHINE_HINTS_H

#include "model/peer.h"

#include <glib.h>

struct ow_machine_hints;

/** Creates an empty list; freed by ow_machine_hints_free(). */
struct ow_machine_hints *ow_machine_hints_new(void);
/** Frees the list and any parts received; NULL is not allowed. */
void ow_machine_hints_free(struct ow_machine_hints *hints);
/** Handles a message of kind OW_PEER_MACHINES or OW_PEER_MACHINES_PART, and takes ownership of its list. A
 * message of an older leader is dropped; a part out of sequence drops all parts before it. */
void ow_machine_hints_receive(struct ow_machine_hints *hints, struct ow_peer_message *message);
/** The last complete list, of struct ow_peer_machine; valid until the next message. It is empty if none
 * has been received. */
const GArray *ow_machine_hints_list(const struct ow_machine_hints *hints);

#endif
