/** @file An HTTP server and a client on one loop, over loopback. */
#ifndef OW_TESTS_SOCKET_BENCH_H
#define OW_TESTS_SOCKET_BENCH_H

#include "io/http_client.h"
#include "io/http_server.h"

#include <glib.h>
#include <stdbool.h>

/** Where the server listens. Chosen for each test: with a fixed port two runs on one machine would conflict.
 */
extern char socket_endpoint[32];

/** A loop with a server, a client, and the last response that the client has got. */
struct socket_bench {
    struct ow_loop *loop;
    struct ow_http_server *server;
    struct ow_http_client *client;
    int status;            /**< of the last response; 0: there was none */
    int replies;           /**< requests that have ended */
    GString *body;         /**< of the last response */
    ow_request_id waiting; /**< the last request that the server has received */
    bool silent;           /**< the server answers no request by itself */
};

/** Opens a server that answers every request with its own body, unless it is silent. */
void socket_bench_open(struct socket_bench *bench);
/** Closes what socket_bench_open() has opened. */
void socket_bench_close(struct socket_bench *bench);
/** Setup of cmocka: a bench for each test. */
int socket_bench_setup(void **state);
/** Teardown of cmocka: closes the bench, also after a failure. */
int socket_bench_teardown(void **state);
/** Runs the loop until so many requests have ended. */
void socket_bench_run_until_reply(struct socket_bench *bench, int replies);
/** Sends a request of which the server holds the response back. */
void socket_bench_send_held(struct socket_bench *bench);
/** The round of the loop; `owner` is the bench. */
double socket_bench_sweep(void *owner, double now);

#endif
