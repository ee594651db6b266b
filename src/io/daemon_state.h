/** @file
 * Internal state of the daemon, shared by daemon.c, incoming.c and outgoing.c only. */
#ifndef OW_IO_DAEMON_STATE_H
#define OW_IO_DAEMON_STATE_H

#include "io/http_client.h"
#include "io/http_server.h"
#include "io/loop.h"
#include "io/malformed_log.h"
#include "io/peer_link.h"
#include "model/settings.h"
#include "sharding/shard_manager.h"

#include <glib.h>

/** The daemon. It owns everything that it points to, except for the loop and the settings. */
struct ow_daemon {
    struct ow_loop *loop;
    const struct ow_settings *settings;
    struct ow_shard_manager *manager;
    struct ow_http_server *server;
    struct ow_http_client *client;
    struct ow_peer_links *peers;
    struct ow_pending_requests *pending_requests; /**< requests sent by `client` that have no reply yet */
    struct ow_malformed_log *malformed_log;
    unsigned sockets_max; /**< excludes the sockets reserved for the key-value store, the cloud and other
                             controllers */
    unsigned client_sockets_min; /**< part of `sockets_max` that is always available to outgoing requests */
    double sweep_at;             /**< monotonic time of the next sweep of connections */
    double load_log_at;          /**< monotonic time of the next log line on the load */
};

#endif
