/** @file
 * The command line client: sends one request to a controller and prints its answer as text.
 *
 * It is stateless, and shares only the HTTP client and the event loop with the daemon. */
#ifndef OW_CLIENT_CLIENT_H
#define OW_CLIENT_CLIENT_H

/** The exit status of a client command. */
enum ow_client_status {
    OW_CLIENT_DONE = 0,
    OW_CLIENT_FAILED = 1, /**< request refused, no answer, or job file unreadable */
    OW_CLIENT_USAGE = 2,  /**< unknown command, wrong arguments, or no valid server */
};

/** Carries out a command and prints its answer to standard output, or an error to standard error.
 * @param server endpoint of the controller, ADDRESS:PORT; OW_CLIENT_USAGE if it is NULL or invalid
 * @param arguments the command and its argument, NULL-terminated; must have at least one element */
enum ow_client_status ow_client_run(const char *server, char *const *arguments);

#endif
