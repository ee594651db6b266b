/** @file A test fixture: an HTTP server and a client on one event loop, connected over loopback. */
#ifndef OW_TESTS_SOCKET_FIXTURE_H
#define OW_TESTS_SOCKET_FIXTURE_H

#include "io/http_client.h"
#include "io/http_server.h"

#include <glib.h>
#include <stdbool.h>

/** The endpoint that the server listens on. Its port is chosen for each test: with a fixed one, two runs on
 * one machine would conflict.
 */
extern char socket_endpoint[32];

/** An event loop with a server, a client, and the last response that the client has received. */
struct socket_fixture {
    struct ow_loop *loop;
    struct ow_http_server *server;
    struct ow_http_client *client;
    int status;    /**< the HTTP status of the last response; 0: the request failed without one */
    int responses; /**< number of requests that have ended, with or without a response */
    GString *body; /**< the body of the last response */
    ow_request_id last_request; /**< the last request that the server has received */
    bool silent;                /**< the server does not answer requests automatically */
};

/** Starts a loop, a client and a server that answers every request with the body of the request, unless it is
 * silent. */
void socket_fixture_open(struct socket_fixture *fixture);
/** Replaces the server by one with other options, which must name socket_endpoint. */
void socket_fixture_replace_server(struct socket_fixture *fixture,
                                   const struct ow_http_server_options *options);
/** Frees everything that socket_fixture_open() has created. */
void socket_fixture_close(struct socket_fixture *fixture);
/** A cmocka setup function: opens a fixture for each test. */
int socket_fixture_setup(void **state);
/** A cmocka teardown function: closes the fixture, also after a failed test. */
int socket_fixture_teardown(void **state);
/** Runs the loop until this number of requests has ended since the fixture was opened; fails the test
 * otherwise. */
void socket_fixture_run_until_responses(struct socket_fixture *fixture, int responses);
/** Sends a request that the server receives and does not answer. */
void socket_fixture_send_held(struct socket_fixture *fixture);
/** The callback for each iteration of the loop; `owner` is the fixture. */
double socket_fixture_sweep(void *owner, double now);

#endif
