#include "model/peer.h"
#include "sharding/membership_state.h"

static void send_step(struct ow_membership *membership, enum ow_probe_step step, const char *addressee,
                      const struct ow_peer_probe *probe, GPtrArray *out)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_PROBE);
    message->sender = g_strdup(membership->self);
    message->addressee = g_strdup(addressee);
    message->probe.step = step;
    message->probe.origin = g_strdup(probe->origin);
    message->probe.relay = g_strdup(probe->relay);
    message->probe.target = g_strdup(probe->target);
    message->probe.number = probe->number;
    g_ptr_array_add(out, message);
}

void ow_indirect_probe_begin(struct ow_membership *membership, struct ow_member *target, double now,
                             GPtrArray *out)
{
    target->probe = ++membership->last_probe;
    target->probe_at = now;
    target->relays = 0;
    for (guint i = 0; i < membership->members->len && target->relays < membership->sharding->relays; i++) {
        /* Beginning behind the target, so that not the same relays are asked about everybody. */
        const struct ow_member *relay =
            g_ptr_array_index(membership->members, (i + target->probe) % membership->members->len);
        if (relay == target || relay->state != OW_MEMBER_ALIVE)
            continue;
        struct ow_peer_probe probe = {.origin = (char *)membership->self,
                                      .relay = (char *)relay->name,
                                      .target = (char *)target->name,
                                      .number = target->probe};
        send_step(membership, OW_PROBE_REQUEST, relay->name, &probe, out);
        target->relays++;
    }
}

static void receive_relayed(struct ow_membership *membership, double now,
                            const struct ow_peer_message *message)
{
    struct ow_member *target = ow_membership_lookup(membership, message->probe.target);
    if (target == NULL || message->probe.number != target->probe || target->state == OW_MEMBER_ALIVE)
        return;
    ow_member_set_state(target, OW_MEMBER_RELAYED, now,
                        g_strdup_printf("out of our reach, but %s reaches it", message->probe.relay));
}

void ow_indirect_probe_receive(struct ow_membership *membership, double now,
                               const struct ow_peer_message *message, GPtrArray *out)
{
    const char *self = membership->self;
    const struct ow_peer_probe *probe = &message->probe;
    if (probe->step == OW_PROBE_REQUEST && g_strcmp0(probe->relay, self) == 0)
        send_step(membership, OW_PROBE_PING, probe->target, probe, out);
    else if (probe->step == OW_PROBE_PING && g_strcmp0(probe->target, self) == 0)
        send_step(membership, OW_PROBE_ACK, probe->relay, probe, out);
    else if (probe->step == OW_PROBE_ACK && g_strcmp0(probe->relay, self) == 0)
        send_step(membership, OW_PROBE_RELAYED, probe->origin, probe, out);
    else if (probe->step == OW_PROBE_RELAYED && g_strcmp0(probe->origin, self) == 0)
        receive_relayed(membership, now, message);
    else
        ow_membership_drop(membership, now, message->sender, "a probe that is not for this controller");
}
