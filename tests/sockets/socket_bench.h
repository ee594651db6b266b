/* An HTTP server and a client on one loop, over loopback. */
#ifndef OW_TESTS_SOCKET_BENCH_H
#define OW_TESTS_SOCKET_BENCH_H

#include "io/http_client.h"
#include "io/http_server.h"

#include <glib.h>
#include <stdbool.h>

/* Where the server listens. Chosen for each test: with a fixed port two runs on one machine would conflict.
 */
extern char socket_endpoint[32];

struct socket_bench {
    struct ow_loop *loop;
    struct ow_http_server *server;
    struct ow_http_client *client;
    int status, replies;
    GString *body;
    ow_request_id waiting;
    bool silent;
};

/* A server that answers every request with its own body, unless it is silent. */
void socket_bench_open(struct socket_bench *bench);
void socket_bench_close(struct socket_bench *bench);
/* Setup and teardown of cmocka: a bench for each test, also closed after a failure. */
int socket_bench_setup(void **state);
int socket_bench_teardown(void **state);
/* Runs the loop until so many requests have ended. */
void socket_bench_run_until_reply(struct socket_bench *bench, int replies);
/* Sends a request of which the server holds the answer back. */
void socket_bench_send_held(struct socket_bench *bench);
/* The round of the loop; `owner` is the bench. */
double socket_bench_sweep(void *owner, double now);

#endif
