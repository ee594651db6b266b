/* The simulated links between controllers: each message is encoded and decoded as for the wire. Tests may
 * partition all links (`peers_partitioned`), isolate one controller (`isolated_controller`), let a controller
 * send and read messages as the earlier version does (`runs_old_version`), or break one link. */
#include "sim_internal.h"

#include "check.h"
#include "model/peer.h"
#include "model/records.h"
#include "wire/peer_xdr.h"

#include <string.h>

void sim_deliver_peer_message(struct sim_cluster *cluster, int from, struct ow_peer_message *message)
{
    GString *frame = g_string_new(NULL);
    wire_peer_encode(message, frame);
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        if (i == from || cluster->controllers[i] == NULL || cluster->peers_partitioned ||
            i == cluster->isolated_controller || from == cluster->isolated_controller)
            continue;
        if (message->addressee != NULL &&
            strcmp(message->addressee, cluster->settings[i].controller_name) != 0)
            continue;
        struct ow_event *event = ow_event_new(OW_EVENT_PEER, 0);
        assert_true(wire_peer_decode(frame->str + 4, frame->len - 4, &event->peer));
        assert_non_null(event->peer);
        /* The earlier version sends the first format, and does not read the version of others. */
        if (cluster->runs_old_version[from])
            event->peer->version = OW_FORMAT_FIRST;
        if (cluster->runs_old_version[i])
            event->peer->version = 0;
        sim_deliver(cluster, i, cluster->process_nonce[i], 0.01, event);
    }
    g_string_free(frame, TRUE);
}

void sim_break_peer_link(struct sim_cluster *cluster, int controller, int other)
{
    struct ow_event *event = ow_event_new(OW_EVENT_PEER, 0);
    event->peer = ow_peer_message_new(OW_PEER_LINK_LOST);
    event->peer->sender = g_strdup(cluster->settings[other].controller_name);
    sim_deliver(cluster, controller, cluster->process_nonce[controller], 0.01, event);
}
