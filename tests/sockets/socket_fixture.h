/** @file An HTTP server and a client on one loop, over loopback. */
#ifndef OW_TESTS_SOCKET_FIXTURE_H
#define OW_TESTS_SOCKET_FIXTURE_H

#include "io/http_client.h"
#include "io/http_server.h"

#include <glib.h>
#include <stdbool.h>

/** Where the server listens. Chosen for each test: with a fixed port two runs on one machine would conflict.
 */
extern char socket_endpoint[32];

/** A loop with a server, a client, and the last response that the client has got. */
struct socket_fixture {
    struct ow_loop *loop;
    struct ow_http_server *server;
    struct ow_http_client *client;
    int status;                 /**< of the last response; 0: there was none */
    int responses;              /**< requests that have ended */
    GString *body;              /**< of the last response */
    ow_request_id last_request; /**< the last request that the server has received */
    bool silent;                /**< the server answers no request by itself */
};

/** Opens a server that answers every request with its own body, unless it is silent. */
void socket_fixture_open(struct socket_fixture *fixture);
/** Closes what socket_fixture_open() has opened. */
void socket_fixture_close(struct socket_fixture *fixture);
/** Setup of cmocka: a bench for each test. */
int socket_fixture_setup(void **state);
/** Teardown of cmocka: closes the bench, also after a failure. */
int socket_fixture_teardown(void **state);
/** Runs the loop until so many requests have ended. */
void socket_fixture_run_until_responses(struct socket_fixture *fixture, int responses);
/** Sends a request of which the server holds the response back. */
void socket_fixture_send_held(struct socket_fixture *fixture);
/** The round of the loop; `owner` is the bench. */
double socket_fixture_sweep(void *owner, double now);

#endif
