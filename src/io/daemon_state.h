/** @file
 * The state of the daemon, shared by the files that make it up: daemon.c, incoming.c and outgoing.c. Private
 * to them. */
#ifndef OW_IO_DAEMON_STATE_H
#define OW_IO_DAEMON_STATE_H

#include "io/http_client.h"
#include "io/http_server.h"
#include "io/loop.h"
#include "io/peer_link.h"
#include "model/settings.h"
#include "sharding/shard_manager.h"

#include <glib.h>

/** Owns everything that it points to, but for the loop and the settings. */
struct ow_daemon {
    struct ow_loop *loop;
    const struct ow_settings *settings;
    struct ow_shard_manager *manager;
    struct ow_http_server *server;
    struct ow_http_client *client;
    struct ow_peer_links *peers;
    struct ow_pending_requests *pending_requests; /**< of the HTTP client */
    unsigned sockets_max; /**< without the sockets reserved for the key-value store, the cloud and other
                             controllers */
    unsigned client_sockets_min; /**< of `sockets_max`: always available to outgoing requests */
    double sweep_at;             /**< monotonic time: time of the next sweep of connections */
};

#endif
