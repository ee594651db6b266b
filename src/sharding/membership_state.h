/* The state of the membership, and its parts. Private to control/; everybody else uses membership.h. */
#ifndef OW_SHARDING_MEMBERSHIP_STATE_H
#define OW_SHARDING_MEMBERSHIP_STATE_H

#include "model/peer.h"
#include "sharding/membership.h"

#include <glib.h>
#include <stdint.h>

struct ow_membership {
    const struct ow_sharding_settings *sharding;
    const char *self;
    uint64_t incarnation, digest, sequence, last_probe;
    GPtrArray *members; /* struct ow_member, owned */
    double started_at;  /* of the first tick */
    double heartbeat_at, ticked_at, drop_logged_at;
    unsigned dropped;
};

/* membership.c: changes the state of a controller, and logs it. Takes over `cause`. */
void ow_member_set_state(struct ow_member *member, enum ow_member_state state, double now, char *cause);
/* The controller of this name, or NULL. */
struct ow_member *ow_membership_lookup(const struct ow_membership *membership, const char *name);
/* Counts a message that can't be right, and logs it now and then. */
void ow_membership_drop(struct ow_membership *membership, double now, const char *sender, const char *why);

/* peer_heartbeats.c: this controller's next heartbeat, and one of another. */
struct ow_peer_message *ow_peer_heartbeat_new(struct ow_membership *membership, const GArray *own_shards);
void ow_peer_heartbeat_receive(struct ow_membership *membership, double now, struct ow_member *member,
                               const struct ow_peer_message *message);

/* indirect_probe.c: origin -> relay (request) -> target (ping) -> relay (ack) -> origin (relayed). */
void ow_indirect_probe_begin(struct ow_membership *membership, struct ow_member *target, double now,
                             GPtrArray *out);
void ow_indirect_probe_receive(struct ow_membership *membership, double now,
                               const struct ow_peer_message *message, GPtrArray *out);

#endif
