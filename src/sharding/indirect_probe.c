#include "sharding/indirect_probe.h"

/* Sends a step of the probe to a controller. */
static void send_step(const struct ow_indirect_prober *prober, enum ow_probe_step step, const char *addressee,
                      const struct ow_peer_probe *probe, GPtrArray *out)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_PROBE);
    message->sender = g_strdup(prober->self);
    message->addressee = g_strdup(addressee);
    message->probe = (struct ow_peer_probe){
        .step = step,
        .origin = g_strdup(probe->origin),
        .relay = g_strdup(probe->relay),
        .target = g_strdup(probe->target),
        .number = probe->number,
    };
    g_ptr_array_add(out, message);
}

static void ask_relay(const struct ow_indirect_prober *prober, const struct ow_member *relay,
                      const struct ow_member *target, GPtrArray *out)
{
    const struct ow_peer_probe probe = {
        .origin = (char *)prober->self,
        .relay = (char *)relay->name,
        .target = (char *)target->name,
        .number = target->probe_number,
    };
    send_step(prober, OW_PROBE_REQUEST, relay->name, &probe, out);
}

void ow_indirect_probe_begin(struct ow_indirect_prober *prober, struct ow_member *target, double now,
                             GPtrArray *out)
{
    const GPtrArray *members = prober->members;
    target->probe_number = ++prober->last_number;
    target->probed_at = now;
    target->relays = 0;
    for (guint i = 0; i < members->len && target->relays < prober->relays_max; i++) {
        /* Each probe starts at a different member, to spread the probes over all relays. */
        guint index = (guint)((i + target->probe_number) % members->len);
        const struct ow_member *relay = g_ptr_array_index(members, index);
        if (relay == target || relay->state != OW_MEMBER_ALIVE)
            continue;
        ask_relay(prober, relay, target, out);
        target->relays++;
    }
}

/* Handles a relay's report that it reaches the target. */
static void handle_relayed(const struct ow_indirect_prober *prober, const struct ow_peer_probe *probe,
                           double now)
{
    struct ow_member *target = ow_members_find(prober->members, probe->target);
    if (target == NULL || probe->number != target->probe_number || target->state == OW_MEMBER_ALIVE)
        return;
    ow_member_set_state(target, OW_MEMBER_ALIVE_BY_RELAY, now,
                        g_strdup_printf("out of our reach, but %s reaches it", probe->relay));
}

bool ow_indirect_probe_receive(const struct ow_indirect_prober *prober, const struct ow_peer_probe *probe,
                               double now, GPtrArray *out)
{
    const char *self = prober->self;
    if (probe->step == OW_PROBE_REQUEST && g_strcmp0(probe->relay, self) == 0)
        send_step(prober, OW_PROBE_PING, probe->target, probe, out);
    else if (probe->step == OW_PROBE_PING && g_strcmp0(probe->target, self) == 0)
        send_step(prober, OW_PROBE_ACK, probe->relay, probe, out);
    else if (probe->step == OW_PROBE_ACK && g_strcmp0(probe->relay, self) == 0)
        send_step(prober, OW_PROBE_RELAYED, probe->origin, probe, out);
    else if (probe->step == OW_PROBE_RELAYED && g_strcmp0(probe->origin, self) == 0)
        handle_relayed(prober, probe, now);
    else
        return false;
    return true;
}
