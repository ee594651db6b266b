/* The state of the serving process, shared by the files that make it up. Private to src/io. */
#ifndef OW_IO_DAEMON_STATE_H
#define OW_IO_DAEMON_STATE_H

#include "io/http_client.h"
#include "io/http_server.h"
#include "model/http_status.h"
#include "io/loop.h"
#include "io/peer_link.h"
#include "model/effect.h"
#include "model/settings.h"
#include "sharding/shard_manager.h"

#include <glib.h>
#include <stdint.h>

struct ow_daemon {
    struct ow_loop *loop;
    const struct ow_settings *settings;
    struct ow_shard_manager *manager;
    struct ow_http_server *server;
    struct ow_http_client *client;
    struct ow_peer_links *peers;
    GHashTable *pending_requests; /* tag of the HTTP client -> struct pending_request of outgoing.c */
    uint64_t last_tag;            /* the last one given to the HTTP client */
    unsigned sockets; /* without those reserved for the key-value store, the cloud and other controllers */
    unsigned client_sockets_least; /* of `sockets`, those that our own requests may always use */
    double sweep_at;               /* when idle connections are looked at next */
};

/* incoming.c: requests of users and workers. */

/* The HTTP server's handler: turns a request into an event, or answers it. `owner` is the service. */
void ow_incoming_handle(void *owner, const struct ow_http_request *request);
/* Answers a user or a worker as the core says. */
void ow_incoming_answer(struct ow_daemon *daemon, const struct ow_effect *effect);

/* outgoing.c: requests to the key-value store, the cloud and workers. */

/* Sends a request of the core to the key-value store, the cloud or a worker. */
void ow_outgoing_send(struct ow_daemon *daemon, const struct ow_effect *effect);
/* The HTTP client's reply function: turns a response into an event. `owner` is the service. */
void ow_outgoing_take_reply(void *owner, uint64_t tag, int status, const char *body, size_t size);
/* Leaves the HTTP client the sockets that incoming connections don't use. */
void ow_outgoing_bound_sockets(struct ow_daemon *daemon);
/* An empty table of pending requests. */
GHashTable *ow_outgoing_pending_new(void);

#endif
