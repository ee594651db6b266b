#include "model/peer.h"
#include "sharding/membership_state.h"

struct ow_peer_message *ow_peer_heartbeat_new(struct ow_membership *membership, const GArray *own_shards)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HEARTBEAT);
    message->sender = g_strdup(membership->self);
    message->heartbeat.incarnation = membership->incarnation;
    message->heartbeat.sequence = ++membership->sequence;
    message->heartbeat.digest = membership->digest;
    for (guint i = 0; i < own_shards->len; i++)
        ow_peer_shards_add(message->heartbeat.shards, &g_array_index(own_shards, struct ow_peer_shard, i));
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
    if (message->heartbeat.incarnation == 0)
        return "it names no process";
    if (is_old_incarnation(member, message->heartbeat.incarnation))
        return "it is of an earlier process";
    if (message->heartbeat.incarnation == member->incarnation &&
        message->heartbeat.sequence <= member->sequence)
        return "it is older than the last one";
    return NULL;
}

void ow_peer_heartbeat_receive(struct ow_membership *membership, double now, struct ow_member *member,
                               const struct ow_peer_message *message)
{
    const char *fault = heartbeat_fault(member, message);
    if (fault != NULL) {
        ow_membership_drop(membership, now, member->name, fault);
        return;
    }
    if (message->heartbeat.incarnation != member->incarnation)
        begin_incarnation(member, message->heartbeat.incarnation);
    member->sequence = message->heartbeat.sequence;
    if (message->heartbeat.digest != member->digest && message->heartbeat.digest != membership->digest)
        g_warning("controller %s shares shards by other settings than this one", member->name);
    member->digest = message->heartbeat.digest;
    g_array_set_size(member->shards, 0);
    for (guint i = 0; i < message->heartbeat.shards->len; i++)
        ow_peer_shards_add(member->shards,
                           &g_array_index(message->heartbeat.shards, struct ow_peer_shard, i));
    ow_phi_heartbeat(&member->detector, now);
    if (member->state != OW_MEMBER_ALIVE)
        ow_member_set_state(member, OW_MEMBER_ALIVE, now, g_strdup("its heartbeats arrive"));
}
