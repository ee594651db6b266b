/** @file
 * The command line client: one request to a controller, its answer in words.
 *
 * It is another job than the daemon's and shares only the HTTP client and the event loop with it. It keeps
 * nothing. */
#ifndef OW_CLIENT_CLIENT_H
#define OW_CLIENT_CLIENT_H

/** The exit status of a client command. */
enum ow_client_status {
    OW_CLIENT_DONE = 0,
    OW_CLIENT_FAILED = 1, /**< refused, no answer, or the file of a job can't be read */
    OW_CLIENT_USAGE = 2,  /**< not a command, or without a server to talk to */
};

/** Carries out a command, prints its answer to standard output, or what went wrong to standard error.
 * @param server the controller to talk to, ADDRESS:PORT; NULL and what is no endpoint give OW_CLIENT_USAGE
 * @param words the command and its argument, ended by NULL; at least one word */
enum ow_client_status ow_client_run(const char *server, char *const *arguments);

#endif
