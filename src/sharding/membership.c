#include "sharding/membership.h"

#include "sharding/dropped_messages.h"
#include "sharding/indirect_probe.h"
#include "sharding/peer_heartbeats.h"

/* A gap between ticks longer than this many heartbeat intervals is a pause of this process, which does not
   count as missing heartbeats of others. */
static const double MIN_PAUSE_HEARTBEATS = 2;
/* An unreachable or suspected controller is probed again after this many probe timeouts. */
static const double REPROBE_TIMEOUTS = 3;
/* For this long after the start, controllers without a heartbeat are assumed to be starting, so that the
   first one to start does not take every shard. */
static const double STARTUP_GRACE_S = 5;

struct ow_membership {
    const struct ow_sharding_settings *sharding;
    GPtrArray *members; /* struct ow_member, owned */
    struct ow_heartbeat_source heartbeats;
    struct ow_indirect_prober prober;
    struct ow_dropped_messages dropped;
    double started_at;        /* of the first tick; 0: none yet */
    double last_tick_at;      /* of the last tick; 0: none yet */
    double next_heartbeat_at; /* when the next heartbeat is due; 0: immediately */
};

/* ---- creation and destruction ---- */

struct ow_membership *ow_membership_new(const struct ow_sharding_settings *sharding, const char *self,
                                        const GArray *peers, uint64_t incarnation, uint64_t settings_digest)
{
    struct ow_membership *membership = g_new0(struct ow_membership, 1);
    membership->sharding = sharding;
    membership->members = g_ptr_array_new_with_free_func(ow_member_free);
    for (guint i = 0; i < peers->len; i++) {
        const char *name = g_array_index(peers, struct ow_peer_settings, i).controller_name;
        g_ptr_array_add(membership->members, ow_member_new(name, sharding->heartbeat_s));
    }
    membership->heartbeats = (struct ow_heartbeat_source){
        .name = self, .incarnation = incarnation, .settings_digest = settings_digest};
    membership->prober = (struct ow_indirect_prober){
        .self = self, .members = membership->members, .relays_max = sharding->relays};
    return membership;
}

void ow_membership_free(struct ow_membership *membership)
{
    g_ptr_array_free(membership->members, TRUE);
    g_free(membership);
}

/* ---- queries ---- */

const GPtrArray *ow_membership_members(const struct ow_membership *membership)
{
    return membership->members;
}

const struct ow_member *ow_membership_find(const struct ow_membership *membership, const char *name)
{
    return ow_members_find(membership->members, name);
}

bool ow_membership_may_lead(const struct ow_membership *membership, const struct ow_member *member)
{
    bool is_starting =
        membership->started_at > 0 && membership->last_tick_at - membership->started_at < STARTUP_GRACE_S;
    return ow_member_is_live(member) || (is_starting && member->state == OW_MEMBER_UNKNOWN);
}

unsigned ow_membership_dropped_count(const struct ow_membership *membership)
{
    return membership->dropped.count;
}

/* ---- messages ---- */

static enum ow_drop_cause receive(struct ow_membership *membership, double now,
                                  const struct ow_peer_message *message, GPtrArray *out)
{
    struct ow_member *sender = ow_members_find(membership->members, message->sender);
    if (sender == NULL)
        return OW_DROP_UNKNOWN_SENDER;
    if (message->kind == OW_PEER_HEARTBEAT)
        return ow_peer_heartbeat_receive(&membership->heartbeats, sender, &message->heartbeat, now);
    if (message->kind == OW_PEER_PROBE &&
        !ow_indirect_probe_receive(&membership->prober, &message->probe, now, out))
        return OW_DROP_MISADDRESSED_PROBE;
    return OW_DROP_NONE;
}

void ow_membership_receive(struct ow_membership *membership, double now,
                           const struct ow_peer_message *message, GPtrArray *out)
{
    enum ow_drop_cause cause = receive(membership, now, message, out);
    if (cause != OW_DROP_NONE)
        ow_dropped_messages_add(&membership->dropped, now, message->sender, cause);
}

/* ---- failure detection ---- */

/* Shifts the failure detectors by a pause of this process: it could not receive heartbeats in that time. */
static void exclude_own_pause(struct ow_membership *membership, double now)
{
    double gap_s = membership->last_tick_at > 0 ? now - membership->last_tick_at : 0;
    membership->last_tick_at = now;
    if (membership->started_at <= 0)
        membership->started_at = now;
    if (gap_s <= MIN_PAUSE_HEARTBEATS * membership->sharding->heartbeat_s)
        return;
    for (guint i = 0; i < membership->members->len; i++) {
        struct ow_member *member = g_ptr_array_index(membership->members, i);
        ow_phi_detector_exclude_pause(&member->detector, gap_s);
        member->probed_at += gap_s;
    }
}

static void probe_if_silent(struct ow_membership *membership, struct ow_member *member, double now,
                            GPtrArray *out)
{
    double phi = ow_phi_detector_phi(&member->detector, now);
    if (phi < membership->sharding->suspicion_phi)
        return;
    ow_indirect_probe_begin(&membership->prober, member, now, out);
    ow_member_set_state(member, OW_MEMBER_PROBING, now,
                        g_strdup_printf("phi %.1f, %u relays asked", phi, member->relays));
}

static void suspect(struct ow_member *member, double now)
{
    double phi = ow_phi_detector_phi(&member->detector, now);
    ow_member_set_state(member, OW_MEMBER_SUSPECTED, now,
                        g_strdup_printf("phi %.1f, and none of %u relays reached it", phi, member->relays));
}

static void update_state(struct ow_membership *membership, struct ow_member *member, double now,
                         GPtrArray *out)
{
    double probe_timeout_s = membership->sharding->probe_timeout_s;
    double probe_age_s = now - member->probed_at;
    bool is_probe_due = probe_age_s > REPROBE_TIMEOUTS * probe_timeout_s;
    switch (member->state) {
    case OW_MEMBER_UNKNOWN:
        break;
    case OW_MEMBER_ALIVE:
        probe_if_silent(membership, member, now, out);
        break;
    case OW_MEMBER_PROBING:
        if (probe_age_s > probe_timeout_s)
            suspect(member, now);
        break;
    case OW_MEMBER_ALIVE_BY_RELAY:
        if (!is_probe_due)
            break;
        ow_indirect_probe_begin(&membership->prober, member, now, out);
        ow_member_set_state(member, OW_MEMBER_PROBING, now,
                            g_strdup("still out of our reach: others are asked again"));
        break;
    case OW_MEMBER_SUSPECTED:
        if (is_probe_due)
            ow_indirect_probe_begin(&membership->prober, member, now, out);
        break;
    }
}

void ow_membership_tick(struct ow_membership *membership, double now, const GArray *led_shards,
                        GPtrArray *out)
{
    exclude_own_pause(membership, now);
    if (now >= membership->next_heartbeat_at) {
        membership->next_heartbeat_at = now + membership->sharding->heartbeat_s;
        g_ptr_array_add(out, ow_peer_heartbeat_new(&membership->heartbeats, led_shards));
    }
    for (guint i = 0; i < membership->members->len; i++)
        update_state(membership, g_ptr_array_index(membership->members, i), now, out);
}
