#include "sharding/peer_heartbeats.h"

static void replace_shards(GArray *to, const GArray *from)
{
    g_array_set_size(to, 0);
    for (guint i = 0; i < from->len; i++)
        ow_peer_shards_add(to, &g_array_index(from, struct ow_peer_shard, i));
}

struct ow_peer_message *ow_peer_heartbeat_new(struct ow_heartbeat_source *self, const GArray *led_shards)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HEARTBEAT);
    message->sender = g_strdup(self->name);
    message->heartbeat.incarnation = self->incarnation;
    message->heartbeat.sequence = ++self->sequence;
    message->heartbeat.digest = self->settings_digest;
    replace_shards(message->heartbeat.shards, led_shards);
    return message;
}

static bool is_earlier_incarnation(const struct ow_member *member, uint64_t incarnation)
{
    for (unsigned i = 0; i < OW_MEMBER_OLD_INCARNATIONS; i++)
        if (member->old_incarnations[i] == incarnation)
            return true;
    return false;
}

static enum ow_drop_cause find_drop_cause(const struct ow_member *member,
                                          const struct ow_peer_heartbeat *heartbeat)
{
    if (heartbeat->incarnation == 0)
        return OW_DROP_NO_INCARNATION;
    if (is_earlier_incarnation(member, heartbeat->incarnation))
        return OW_DROP_OLD_INCARNATION;
    if (heartbeat->incarnation == member->incarnation && heartbeat->sequence <= member->sequence)
        return OW_DROP_OLD_SEQUENCE;
    return OW_DROP_NONE;
}

static void begin_incarnation(struct ow_member *member, uint64_t incarnation)
{
    if (member->incarnation != 0) {
        member->old_incarnations[member->next_old_incarnation] = member->incarnation;
        member->next_old_incarnation = (member->next_old_incarnation + 1) % OW_MEMBER_OLD_INCARNATIONS;
        g_info("controller restarted: controller=%s incarnation=%" G_GUINT64_FORMAT, member->name,
               incarnation);
    }
    member->incarnation = incarnation;
    member->sequence = 0;
    ow_phi_detector_forget_intervals(&member->detector);
}

/* Warns once per digest. This is only a diagnostic: the map agreement prevents controllers with different
   settings from leading. */
static void note_settings_digest(const struct ow_heartbeat_source *self, struct ow_member *member,
                                 uint64_t digest)
{
    if (digest != member->settings_digest && digest != self->settings_digest)
        g_warning("controller has different sharding settings: controller=%s", member->name);
    member->settings_digest = digest;
}

enum ow_drop_cause ow_peer_heartbeat_receive(const struct ow_heartbeat_source *self, struct ow_member *sender,
                                             const struct ow_peer_heartbeat *heartbeat, double now)
{
    enum ow_drop_cause cause = find_drop_cause(sender, heartbeat);
    if (cause != OW_DROP_NONE)
        return cause;
    if (heartbeat->incarnation != sender->incarnation)
        begin_incarnation(sender, heartbeat->incarnation);
    sender->sequence = heartbeat->sequence;
    note_settings_digest(self, sender, heartbeat->digest);
    replace_shards(sender->led_shards, heartbeat->shards);
    ow_phi_detector_add_heartbeat(&sender->detector, now);
    if (sender->state != OW_MEMBER_ALIVE)
        ow_member_set_state(sender, OW_MEMBER_ALIVE, now, g_strdup("its heartbeats arrive"));
    return OW_DROP_NONE;
}
