/* The HTTP server: one request at a time per connection, answered later by its handle. */
#ifndef OW_IO_HTTP_SERVER_H
#define OW_IO_HTTP_SERVER_H

#include "io/loop.h"

#include <stddef.h>
#include <stdint.h>

struct ow_http_server;

/* Names one request that waits for its answer; stale handles are ignored. */
typedef uint64_t ow_request_id;

struct ow_http_request {
    ow_request_id id;
    const char *method;
    const char *target;
    const char *body;
    size_t body_size;
};

typedef void (*ow_http_handler)(void *owner, const struct ow_http_request *request);

struct ow_http_server_options {
    const char *endpoint;
    size_t body_limit;
    unsigned max_connections;
    double idle_s; /* a connection that sends nothing for so long is closed */
};

struct ow_http_server *ow_http_server_new(struct ow_loop *loop, const struct ow_http_server_options *options,
                                          ow_http_handler handler, void *owner);
void ow_http_server_free(struct ow_http_server *server);
/* `headers` holds further header lines, each ended by CR LF, or is NULL. */
void ow_http_server_answer(struct ow_http_server *server, ow_request_id id, int status, const char *headers,
                           const char *body, size_t size);
/* Closes idle connections; to be called now and then. */
/* Connections that are open now. */
unsigned ow_http_server_count(const struct ow_http_server *server);
void ow_http_server_sweep(struct ow_http_server *server, double now);

#endif
