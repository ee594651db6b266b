/* What the leader tells the other controllers: how its jobs fare, and where its machines listen. */
#ifndef OW_CORE_PEERS_LEADER_BROADCAST_H
#define OW_CORE_PEERS_LEADER_BROADCAST_H

struct ow_leader;

/* Sends whatever is due. Lists that are too long for a message go in several. */
void ow_leader_broadcast_tick(struct ow_leader *leader);

#endif
