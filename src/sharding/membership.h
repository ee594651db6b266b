/* Which controllers are alive, as this one sees it: heartbeats judged by a failure detector, and indirect
 * probes through other controllers before one is suspected. A suspicion is a hint: nothing that can't be
 * undone may rest on it. No clock and no I/O: messages to be sent are added to an array. */
#ifndef OW_SHARDING_MEMBERSHIP_H
#define OW_SHARDING_MEMBERSHIP_H

#include "model/peer.h"
#include "sharding/phi_detector.h"
#include "sharding/sharding_settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum ow_member_state {
    OW_MEMBER_UNHEARD, /* no heartbeat has come since this controller started */
    OW_MEMBER_ALIVE,
    OW_MEMBER_PROBED,    /* unusually silent: others are asked whether they reach it */
    OW_MEMBER_RELAYED,   /* out of our reach, but another controller reaches it */
    OW_MEMBER_SUSPECTED, /* nobody who was asked reaches it */
};

/* How many earlier processes of a controller are remembered, so that their late messages are told apart. */
enum { OW_MEMBER_OLD_INCARNATIONS = 8 };

struct ow_member {
    const char *name; /* the settings' */
    enum ow_member_state state;
    double state_since;
    char *cause; /* why it is in this state */
    struct ow_phi_detector detector;
    uint64_t incarnation; /* of its process; 0: not heard yet */
    uint64_t old_incarnations[OW_MEMBER_OLD_INCARNATIONS];
    unsigned old_next;
    uint64_t sequence; /* of its last heartbeat */
    uint64_t digest;   /* of the settings that it shares shards by */
    GArray *shards;    /* struct ow_peer_shard: those that it leads */
    uint64_t probe;    /* number of the last probe */
    double probe_at;
    unsigned relays;     /* asked by the last probe */
    unsigned suspicions; /* since this controller started */
};

struct ow_membership;

/* `self` and the names of `peers` (struct ow_peer_settings) must outlive it. */
struct ow_membership *ow_membership_new(const struct ow_sharding_settings *sharding, const char *self,
                                        const GArray *peers, uint64_t incarnation, uint64_t digest);
void ow_membership_free(struct ow_membership *membership);
/* Sends what is due and judges every controller. `own_shards`: struct ow_peer_shard, what this one leads. */
void ow_membership_tick(struct ow_membership *membership, double now, const GArray *own_shards,
                        GPtrArray *out);
/* A heartbeat or a step of a probe has come. What can't be right is dropped, and logged now and then. */
void ow_membership_receive(struct ow_membership *membership, double now,
                           const struct ow_peer_message *message, GPtrArray *out);
/* struct ow_member, owned by the membership. */
const GPtrArray *ow_membership_members(const struct ow_membership *membership);
/* The controller of this name, or NULL. */
const struct ow_member *ow_membership_find(const struct ow_membership *membership, const char *name);
/* Whether it counts as able to lead: heard by us or by another controller, or not heard yet while we have
   only just started ourselves. */
bool ow_membership_may_lead(const struct ow_membership *membership, const struct ow_member *member);
/* Whether it is heard by us or by another controller. */
bool ow_member_is_live(const struct ow_member *member);
/* The state as a word for operators and the log. */
const char *ow_member_state_name(enum ow_member_state state);
/* Messages dropped so far because they could not be right. */
unsigned ow_membership_dropped(const struct ow_membership *membership);

#endif
