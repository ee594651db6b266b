/* The client commands: one request to a controller, its answer in words. */
#ifndef OW_IO_CLIENT_H
#define OW_IO_CLIENT_H

/* The exit status of a client command. */
enum ow_client_status {
    OW_CLIENT_DONE = 0,
    OW_CLIENT_FAILED = 1, /* refused, or no answer */
    OW_CLIENT_USAGE = 2,  /* not a command, or without a server to talk to */
};

/* Carries out the command of the NULL-ended vector `words` at the controller `server` (ADDRESS:PORT), and
   prints its answer, or the error to standard error. */
enum ow_client_status ow_client_run(const char *server, char **words);

#endif
