/* The client commands: one request to a controller, its answer in words. */
#ifndef OW_IO_CLIENT_H
#define OW_IO_CLIENT_H

/* The exit status: 0 done, 1 refused or failed, 2 wrong words. */
int ow_client_run(const char *server, char **words);

#endif
