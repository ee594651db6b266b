/* The command line: what the program is to do, and with which files. */
#ifndef OW_CONFIG_CMDLINE_H
#define OW_CONFIG_CMDLINE_H

/* What the program is to do. */
enum ow_action { OW_ACTION_SERVE, OW_ACTION_CHECK, OW_ACTION_VERSION, OW_ACTION_CLIENT };

/* The exit status after a wrong command line. */
enum { OW_CMDLINE_USAGE = 2 };

struct ow_cmdline {
    enum ow_action action;
    char *config;    /* the platform's settings file, or NULL */
    char *operators; /* the operators' settings file, or NULL */
    char *server;    /* ADDRESS:PORT of a controller, or NULL */
    char **words;    /* of a client command, or NULL */
};

/* Reads the arguments and the environment. 0, or the exit status after a message on standard error; either
   way the result is to be cleared. */
int ow_cmdline_parse(int argc, char **argv, struct ow_cmdline *out);
/* Frees what it holds. */
void ow_cmdline_clear(struct ow_cmdline *cmdline);

#endif
