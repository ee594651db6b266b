/* A client that sends whatever bytes a test wants, for tests of what the server does with them. */
#ifndef OW_TESTS_RAW_CLIENT_H
#define OW_TESTS_RAW_CLIENT_H

#include "socket_fixture.h"

#include <stddef.h>

/* Runs the fixture's loop for some iterations. */
void raw_client_run(struct socket_fixture *fixture, int iterations);
/* Runs the fixture's loop for this time. */
void raw_client_run_for(struct socket_fixture *fixture, double seconds);
/* Connects to the fixture's server; the caller closes the descriptor. */
int raw_client_connect(struct socket_fixture *fixture);
/* Sends all bytes, and runs the loop until the server has read them. */
void raw_client_send(struct socket_fixture *fixture, int fd, const char *bytes, size_t size);
/* Sends as much as the system takes at once, whether the server reads it or not. */
void raw_client_offer(int fd, const char *bytes, size_t size);
/* Runs the loop until an answer has arrived, the connection is closed, or for 100 iterations. Returns what
 * has been received (g_free). */
char *raw_client_receive(struct socket_fixture *fixture, int fd);
/* Whether the server has closed the connection, after all that it has sent. */
bool raw_client_is_closed(int fd);
/* Whether the server answers a sound request of another client with 200. */
bool raw_client_others_are_served(struct socket_fixture *fixture);

#endif
