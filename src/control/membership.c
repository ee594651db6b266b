#include "control/membership.h"

#include <string.h>

/* A pause of this process longer than so many heartbeats is not held against the others. */
static const double PAUSE_HEARTBEATS = 2;
/* A controller out of reach or suspected is probed again after so many time-outs of a probe. */
static const double PROBE_AGAIN_TIMEOUTS = 3;
/* Dropped messages are logged at most this often. */
static const double DROP_LOG_S = 10;

struct ow_membership {
    const struct ow_control_settings *control;
    const char *self;
    uint64_t incarnation, digest, sequence, last_probe;
    GPtrArray *members; /* struct ow_member, owned */
    double heartbeat_at, ticked_at, drop_logged_at;
    unsigned dropped;
};

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

struct ow_membership *ow_membership_new(const struct ow_control_settings *control, const char *self,
                                        const GArray *peers, uint64_t incarnation, uint64_t digest)
{
    struct ow_membership *membership = g_new0(struct ow_membership, 1);
    membership->control = control;
    membership->self = self;
    membership->incarnation = incarnation;
    membership->digest = digest;
    membership->members = g_ptr_array_new_with_free_func(member_free);
    for (guint i = 0; i < peers->len; i++)
        g_ptr_array_add(membership->members, member_new(g_array_index(peers, struct ow_peer_settings, i).node,
                                                        control->heartbeat_s));
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

static struct ow_member *find(const struct ow_membership *membership, const char *name)
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
    return find(membership, name);
}

bool ow_member_is_live(const struct ow_member *member)
{
    return member->state == OW_MEMBER_ALIVE || member->state == OW_MEMBER_PROBED ||
           member->state == OW_MEMBER_RELAYED;
}

const char *ow_member_state_name(enum ow_member_state state)
{
    static const char *const names[] = {"unheard", "alive", "probed", "relayed", "suspected"};
    return names[state];
}

/* Takes over `cause`. */
static void set_state(struct ow_member *member, enum ow_member_state state, double now, char *cause)
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

static void drop(struct ow_membership *membership, double now, const char *sender, const char *why)
{
    membership->dropped++;
    if (membership->dropped > 1 && now - membership->drop_logged_at < DROP_LOG_S)
        return;
    membership->drop_logged_at = now;
    g_info("a message of %s is dropped: %s (%u so far)", sender != NULL ? sender : "an unnamed controller",
           why, membership->dropped);
}

/* ---- heartbeats ---- */

static struct ow_peer_message *new_heartbeat(struct ow_membership *membership, const GArray *own_shards)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HEARTBEAT);
    message->sender = g_strdup(membership->self);
    message->incarnation = membership->incarnation;
    message->sequence = ++membership->sequence;
    message->digest = membership->digest;
    for (guint i = 0; i < own_shards->len; i++)
        ow_peer_shards_add(message->shards, &g_array_index(own_shards, struct ow_peer_shard, i));
    return message;
}

static bool is_old_incarnation(const struct ow_member *member, uint64_t incarnation)
{
    for (unsigned i = 0; i < OW_MEMBER_OLD_INCARNATIONS; i++)
        if (member->old_incarnations[i] == incarnation)
            return true;
    return false;
}

static void begin_incarnation(struct ow_member *member, uint64_t incarnation)
{
    if (member->incarnation != 0) {
        member->old_incarnations[member->old_next] = member->incarnation;
        member->old_next = (member->old_next + 1) % OW_MEMBER_OLD_INCARNATIONS;
        g_info("controller %s has started anew", member->name);
    }
    member->incarnation = incarnation;
    member->sequence = 0;
    ow_phi_restart(&member->detector);
}

/* Why the heartbeat can't count; NULL: it does. */
static const char *heartbeat_fault(const struct ow_member *member, const struct ow_peer_message *message)
{
    if (message->incarnation == 0)
        return "it names no process";
    if (is_old_incarnation(member, message->incarnation))
        return "it is of an earlier process";
    if (message->incarnation == member->incarnation && message->sequence <= member->sequence)
        return "it is older than the last one";
    return NULL;
}

static void receive_heartbeat(struct ow_membership *membership, double now, struct ow_member *member,
                              const struct ow_peer_message *message)
{
    const char *fault = heartbeat_fault(member, message);
    if (fault != NULL) {
        drop(membership, now, member->name, fault);
        return;
    }
    if (message->incarnation != member->incarnation)
        begin_incarnation(member, message->incarnation);
    member->sequence = message->sequence;
    if (message->digest != member->digest && message->digest != membership->digest)
        g_warning("controller %s shares shards by other settings than this one", member->name);
    member->digest = message->digest;
    g_array_set_size(member->shards, 0);
    for (guint i = 0; i < message->shards->len; i++)
        ow_peer_shards_add(member->shards, &g_array_index(message->shards, struct ow_peer_shard, i));
    ow_phi_heartbeat(&member->detector, now);
    if (member->state != OW_MEMBER_ALIVE)
        set_state(member, OW_MEMBER_ALIVE, now, g_strdup("its heartbeats arrive"));
}

/* ---- indirect probes: origin -> relay (request) -> target (ping) -> relay (ack) -> origin (relayed) ---- */

static void send_step(struct ow_membership *membership, enum ow_probe_step step, const char *addressee,
                      const struct ow_peer_message *of, GPtrArray *out)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_PROBE);
    message->sender = g_strdup(membership->self);
    message->addressee = g_strdup(addressee);
    message->step = step;
    message->origin = g_strdup(of->origin);
    message->relay = g_strdup(of->relay);
    message->target = g_strdup(of->target);
    message->number = of->number;
    g_ptr_array_add(out, message);
}

static void begin_probe(struct ow_membership *membership, struct ow_member *target, double now,
                        GPtrArray *out)
{
    target->probe = ++membership->last_probe;
    target->probe_at = now;
    target->relays = 0;
    for (guint i = 0; i < membership->members->len && target->relays < membership->control->relays; i++) {
        /* Beginning behind the target, so that not the same relays are asked about everybody. */
        const struct ow_member *relay =
            g_ptr_array_index(membership->members, (i + target->probe) % membership->members->len);
        if (relay == target || relay->state != OW_MEMBER_ALIVE)
            continue;
        struct ow_peer_message of = {.origin = (char *)membership->self,
                                     .relay = (char *)relay->name,
                                     .target = (char *)target->name,
                                     .number = target->probe};
        send_step(membership, OW_PROBE_REQUEST, relay->name, &of, out);
        target->relays++;
    }
}

static void receive_relayed(struct ow_membership *membership, double now,
                            const struct ow_peer_message *message)
{
    struct ow_member *target = find(membership, message->target);
    if (target == NULL || message->number != target->probe || target->state == OW_MEMBER_ALIVE)
        return;
    set_state(target, OW_MEMBER_RELAYED, now,
              g_strdup_printf("out of our reach, but %s reaches it", message->relay));
}

static void receive_probe(struct ow_membership *membership, double now, const struct ow_peer_message *message,
                          GPtrArray *out)
{
    const char *self = membership->self;
    if (message->step == OW_PROBE_REQUEST && g_strcmp0(message->relay, self) == 0)
        send_step(membership, OW_PROBE_PING, message->target, message, out);
    else if (message->step == OW_PROBE_PING && g_strcmp0(message->target, self) == 0)
        send_step(membership, OW_PROBE_ACK, message->relay, message, out);
    else if (message->step == OW_PROBE_ACK && g_strcmp0(message->relay, self) == 0)
        send_step(membership, OW_PROBE_RELAYED, message->origin, message, out);
    else if (message->step == OW_PROBE_RELAYED && g_strcmp0(message->origin, self) == 0)
        receive_relayed(membership, now, message);
    else
        drop(membership, now, message->sender, "a probe that is not for this controller");
}

void ow_membership_receive(struct ow_membership *membership, double now,
                           const struct ow_peer_message *message, GPtrArray *out)
{
    struct ow_member *sender = find(membership, message->sender);
    if (sender == NULL)
        drop(membership, now, message->sender, "its sender is not in the settings");
    else if (message->kind == OW_PEER_HEARTBEAT)
        receive_heartbeat(membership, now, sender, message);
    else if (message->kind == OW_PEER_PROBE)
        receive_probe(membership, now, message, out);
}

/* ---- judgement ---- */

/* While this process stood still nothing could be heard: that is no silence of the others. */
static void forgive_own_pause(struct ow_membership *membership, double now)
{
    double pause_s = membership->ticked_at > 0 ? now - membership->ticked_at : 0;
    membership->ticked_at = now;
    if (pause_s <= PAUSE_HEARTBEATS * membership->control->heartbeat_s)
        return;
    for (guint i = 0; i < membership->members->len; i++) {
        struct ow_member *member = g_ptr_array_index(membership->members, i);
        ow_phi_forgive(&member->detector, pause_s);
        member->probe_at += pause_s;
    }
}

static void judge(struct ow_membership *membership, struct ow_member *member, double now, GPtrArray *out)
{
    const struct ow_control_settings *control = membership->control;
    double phi = ow_phi(&member->detector, now);
    bool timed_out = now - member->probe_at > control->probe_timeout_s;
    bool again = now - member->probe_at > PROBE_AGAIN_TIMEOUTS * control->probe_timeout_s;
    switch (member->state) {
    case OW_MEMBER_UNHEARD:
        break;
    case OW_MEMBER_ALIVE:
        if (phi < control->suspicion_phi)
            break;
        begin_probe(membership, member, now, out);
        set_state(member, OW_MEMBER_PROBED, now,
                  g_strdup_printf("phi %.1f, %u relays asked", phi, member->relays));
        break;
    case OW_MEMBER_PROBED:
        if (timed_out)
            set_state(member, OW_MEMBER_SUSPECTED, now,
                      g_strdup_printf("phi %.1f, and none of %u relays reached it", phi, member->relays));
        break;
    case OW_MEMBER_RELAYED:
        if (!again)
            break;
        begin_probe(membership, member, now, out);
        set_state(member, OW_MEMBER_PROBED, now, g_strdup("still out of our reach: others are asked again"));
        break;
    case OW_MEMBER_SUSPECTED:
        if (again)
            begin_probe(membership, member, now, out);
        break;
    }
}

void ow_membership_tick(struct ow_membership *membership, double now, const GArray *own_shards,
                        GPtrArray *out)
{
    forgive_own_pause(membership, now);
    if (now >= membership->heartbeat_at) {
        membership->heartbeat_at = now + membership->control->heartbeat_s;
        g_ptr_array_add(out, new_heartbeat(membership, own_shards));
    }
    for (guint i = 0; i < membership->members->len; i++)
        judge(membership, g_ptr_array_index(membership->members, i), now, out);
}
