/* The HTTP server: one request at a time per connection, answered later by its id. */
#ifndef OW_IO_HTTP_SERVER_H
#define OW_IO_HTTP_SERVER_H

#include "io/loop.h"

#include <stddef.h>
#include <stdint.h>

struct ow_http_server;

/* Names one request that waits for its answer; stale ids are ignored. */
typedef uint64_t ow_request_id;

/* One request, as the handler gets it. */
struct ow_http_request {
    ow_request_id id;
    const char *method;
    const char *target; /* path and query */
    const char *body;   /* ended by a NUL that body_size does not count */
    size_t body_size;
};

/* Takes one request, whose strings are valid during the call only. */
typedef void (*ow_http_handler)(void *owner, const struct ow_http_request *request);

struct ow_http_server_options {
    const char *endpoint;     /* ADDRESS:PORT to listen on */
    size_t body_limit;        /* bytes of a request's body at most */
    unsigned max_connections; /* more are refused */
    double idle_s;            /* a connection that sends nothing for so long is closed */
};

/* NULL if the endpoint can't be listened on. `owner` is handed to the handler. */
struct ow_http_server *ow_http_server_new(struct ow_loop *loop, const struct ow_http_server_options *options,
                                          ow_http_handler handler, void *owner);
/* Closes all connections; NULL is allowed. */
void ow_http_server_free(struct ow_http_server *server);
/* Answers a request. `headers` holds further header lines, each ended by CR LF, or is NULL. */
void ow_http_server_answer(struct ow_http_server *server, ow_request_id id, int status, const char *headers,
                           const char *body, size_t size);
/* Connections that are open now. */
unsigned ow_http_server_count(const struct ow_http_server *server);
/* Closes the connections that still have bytes to send. */
void ow_http_server_drop_unsent(struct ow_http_server *server);
/* Closes idle connections; to be called now and then. */
void ow_http_server_sweep(struct ow_http_server *server, double now);

#endif
