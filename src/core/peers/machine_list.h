/** @file
 * The leader's message to its peers with the addresses of its machines; machine_hints.h receives it.
 */
#ifndef OW_CORE_PEERS_MACHINE_LIST_H
#define OW_CORE_PEERS_MACHINE_LIST_H

struct ow_leader;

/** Sends the list of machines: in one message if it fits, else in parts. */
void ow_machine_list_send(struct ow_leader *leader);

#endif
