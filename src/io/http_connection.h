/* One connection of the HTTP server: reads requests, hands them over one at a time and writes the responses.
 * Private to the server. */
#ifndef OW_IO_HTTP_CONNECTION_H
#define OW_IO_HTTP_CONNECTION_H

#include "io/http_parse.h"
#include "io/http_server.h"

#include <glib.h>

struct ow_http_connection {
    struct ow_http_server *server;
    struct ow_watch watch;
    uint32_t slot;    /* its place among the server's connections */
    uint32_t serial;  /* of the request at hand */
    double active_at; /* when it last received something */
    bool waiting;     /* a request is with the handler */
    bool closing;     /* close once everything is sent */
    struct ow_http_parser parser;
    GString *pending; /* bytes that came after the request at hand */
    GString *out;     /* bytes to be sent */
    size_t sent;      /* of `out` */
};

struct ow_http_server {
    struct ow_loop *loop;
    struct ow_watch listener;
    size_t body_limit;
    unsigned max_connections;
    unsigned count; /* connections that are open */
    double idle_s;
    uint32_t next_serial;
    ow_http_handler handler;
    void *owner;
    GPtrArray *slots; /* struct ow_http_connection, or NULL where a slot is free */
};

/* Serves an accepted connection, whose descriptor it takes over. */
void ow_http_connection_open(struct ow_http_server *server, int fd);
/* Closes the connection at once and frees it. */
void ow_http_connection_close(struct ow_http_connection *connection);
/* Answers the request at hand and turns to the next. `headers` as in ow_http_server_answer. */
void ow_http_connection_answer(struct ow_http_connection *connection, int status, const char *headers,
                               const char *body, size_t size);

#endif
