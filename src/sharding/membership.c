#include "model/peer.h"
#include "sharding/membership_state.h"

#include <string.h>

/* A pause of this process longer than so many heartbeats is not held against the others. */
static const double PAUSE_HEARTBEATS = 2;
/* A controller out of reach or suspected is probed again after so many time-outs of a probe. */
static const double PROBE_AGAIN_TIMEOUTS = 3;
/* So long after the start controllers that have not been heard yet may be starting as well: whoever is first
   must not take every shard. */
static const double STARTING_S = 5;
/* Dropped messages are logged at most this often. */
static const double DROP_LOG_S = 10;

static void member_free(void *item)
{
    struct ow_member *member = item;
    g_free(member->cause);
    g_array_free(member->shards, TRUE);
    g_free(member);
}

static struct ow_member *member_new(const char *name, double expected_s)
{
    struct ow_member *member = g_new0(struct ow_member, 1);
    member->name = name;
    member->cause = g_strdup("no heartbeat yet");
    member->shards = ow_peer_shards_new();
    ow_phi_init(&member->detector, expected_s);
    return member;
}

struct ow_membership *ow_membership_new(const struct ow_sharding_settings *sharding, const char *self,
                                        const GArray *peers, uint64_t incarnation, uint64_t digest)
{
    struct ow_membership *membership = g_new0(struct ow_membership, 1);
    membership->sharding = sharding;
    membership->self = self;
    membership->incarnation = incarnation;
    membership->digest = digest;
    membership->members = g_ptr_array_new_with_free_func(member_free);
    for (guint i = 0; i < peers->len; i++)
        g_ptr_array_add(membership->members, member_new(g_array_index(peers, struct ow_peer_settings, i).node,
                                                        sharding->heartbeat_s));
    return membership;
}

void ow_membership_free(struct ow_membership *membership)
{
    g_ptr_array_free(membership->members, TRUE);
    g_free(membership);
}

const GPtrArray *ow_membership_members(const struct ow_membership *membership)
{
    return membership->members;
}

unsigned ow_membership_dropped(const struct ow_membership *membership)
{
    return membership->dropped;
}

struct ow_member *ow_membership_lookup(const struct ow_membership *membership, const char *name)
{
    for (guint i = 0; i < membership->members->len; i++) {
        struct ow_member *member = g_ptr_array_index(membership->members, i);
        if (g_strcmp0(member->name, name) == 0)
            return member;
    }
    return NULL;
}

const struct ow_member *ow_membership_find(const struct ow_membership *membership, const char *name)
{
    return ow_membership_lookup(membership, name);
}

bool ow_member_is_live(const struct ow_member *member)
{
    return member->state == OW_MEMBER_ALIVE || member->state == OW_MEMBER_PROBED ||
           member->state == OW_MEMBER_RELAYED;
}

bool ow_membership_may_lead(const struct ow_membership *membership, const struct ow_member *member)
{
    bool starting = membership->started_at > 0 && membership->ticked_at - membership->started_at < STARTING_S;
    return ow_member_is_live(member) || (starting && member->state == OW_MEMBER_UNHEARD);
}

const char *ow_member_state_name(enum ow_member_state state)
{
    static const char *const names[] = {"unheard", "alive", "probed", "relayed", "suspected"};
    return names[state];
}

void ow_member_set_state(struct ow_member *member, enum ow_member_state state, double now, char *cause)
{
    if (member->state != state) {
        g_info("controller %s: %s, was %s: %s", member->name, ow_member_state_name(state),
               ow_member_state_name(member->state), cause);
        member->state_since = now;
        member->suspicions += state == OW_MEMBER_SUSPECTED ? 1 : 0;
    }
    member->state = state;
    g_free(member->cause);
    member->cause = cause;
}

void ow_membership_drop(struct ow_membership *membership, double now, const char *sender, const char *why)
{
    membership->dropped++;
    if (membership->dropped > 1 && now - membership->drop_logged_at < DROP_LOG_S)
        return;
    membership->drop_logged_at = now;
    g_info("a message of %s is dropped: %s (%u so far)", sender != NULL ? sender : "an unnamed controller",
           why, membership->dropped);
}

void ow_membership_receive(struct ow_membership *membership, double now,
                           const struct ow_peer_message *message, GPtrArray *out)
{
    struct ow_member *sender = ow_membership_lookup(membership, message->sender);
    if (sender == NULL)
        ow_membership_drop(membership, now, message->sender, "its sender is not in the settings");
    else if (message->kind == OW_PEER_HEARTBEAT)
        ow_peer_heartbeat_receive(membership, now, sender, message);
    else if (message->kind == OW_PEER_PROBE)
        ow_indirect_probe_receive(membership, now, message, out);
}

/* ---- judgement ---- */

/* While this process stood still nothing could be heard: that is no silence of the others. */
static void forgive_own_pause(struct ow_membership *membership, double now)
{
    double pause_s = membership->ticked_at > 0 ? now - membership->ticked_at : 0;
    membership->ticked_at = now;
    if (membership->started_at <= 0)
        membership->started_at = now;
    if (pause_s <= PAUSE_HEARTBEATS * membership->sharding->heartbeat_s)
        return;
    for (guint i = 0; i < membership->members->len; i++) {
        struct ow_member *member = g_ptr_array_index(membership->members, i);
        ow_phi_forgive(&member->detector, pause_s);
        member->probe_at += pause_s;
    }
}

static void judge(struct ow_membership *membership, struct ow_member *member, double now, GPtrArray *out)
{
    const struct ow_sharding_settings *sharding = membership->sharding;
    double phi = ow_phi(&member->detector, now);
    bool timed_out = now - member->probe_at > sharding->probe_timeout_s;
    bool again = now - member->probe_at > PROBE_AGAIN_TIMEOUTS * sharding->probe_timeout_s;
    switch (member->state) {
    case OW_MEMBER_UNHEARD:
        break;
    case OW_MEMBER_ALIVE:
        if (phi < sharding->suspicion_phi)
            break;
        ow_indirect_probe_begin(membership, member, now, out);
        ow_member_set_state(member, OW_MEMBER_PROBED, now,
                            g_strdup_printf("phi %.1f, %u relays asked", phi, member->relays));
        break;
    case OW_MEMBER_PROBED:
        if (timed_out)
            ow_member_set_state(
                member, OW_MEMBER_SUSPECTED, now,
                g_strdup_printf("phi %.1f, and none of %u relays reached it", phi, member->relays));
        break;
    case OW_MEMBER_RELAYED:
        if (!again)
            break;
        ow_indirect_probe_begin(membership, member, now, out);
        ow_member_set_state(member, OW_MEMBER_PROBED, now,
                            g_strdup("still out of our reach: others are asked again"));
        break;
    case OW_MEMBER_SUSPECTED:
        if (again)
            ow_indirect_probe_begin(membership, member, now, out);
        break;
    }
}

void ow_membership_tick(struct ow_membership *membership, double now, const GArray *own_shards,
                        GPtrArray *out)
{
    forgive_own_pause(membership, now);
    if (now >= membership->heartbeat_at) {
        membership->heartbeat_at = now + membership->sharding->heartbeat_s;
        g_ptr_array_add(out, ow_peer_heartbeat_new(membership, own_shards));
    }
    for (guint i = 0; i < membership->members->len; i++)
        judge(membership, g_ptr_array_index(membership->members, i), now, out);
}
