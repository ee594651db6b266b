/* The command line. */
#ifndef OW_CONFIG_CMDLINE_H
#define OW_CONFIG_CMDLINE_H

enum ow_action { OW_ACTION_SERVE, OW_ACTION_CHECK, OW_ACTION_VERSION, OW_ACTION_CLIENT };

struct ow_cmdline {
    enum ow_action action;
    char *config, *operators, *server;
    char **words; /* of a client command */
};

/* 0, or the exit status after a message on standard error. */
int ow_cmdline_parse(int argc, char **argv, struct ow_cmdline *out);
void ow_cmdline_clear(struct ow_cmdline *cmdline);

#endif
