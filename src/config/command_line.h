/**
 * @file
 * The command line of the controller's program: what it is to do, and with which files.
 */
#ifndef OW_CONFIG_COMMAND_LINE_H
#define OW_CONFIG_COMMAND_LINE_H

#include <glib.h>
#include <stdbool.h>

/** What the program is to do. */
enum ow_action {
    OW_ACTION_SERVE,   /**< be a controller */
    OW_ACTION_CHECK,   /**< check the settings and end */
    OW_ACTION_VERSION, /**< tell the version and end */
    OW_ACTION_CLIENT,  /**< send one command to a controller */
};

/** A command line, read. Strings are owned. */
struct ow_command_line {
    enum ow_action action;
    char *config;       /**< path of the platform's settings; NULL: none (not with SERVE and CHECK) */
    char *operators;    /**< path of the operators' settings; NULL: the default values */
    char *server;       /**< ADDRESS:PORT of the controller that a client talks to; NULL: none is given */
    char **client_args; /**< the client's command, ended by NULL; NULL: there is none */
};

/**
 * Reads the arguments, and OSPREYWELL_SERVER where they name no server.
 *
 * @param error  G_OPTION_ERROR, or OW_CONFIG_ERROR_MISSING_FIELD if neither a file nor a command is named
 * @return false on an error; `out` is to be cleared either way
 */
bool ow_command_line_parse(int argc, char **argv, struct ow_command_line *out, GError **error);
/** Frees what the command line holds, but not itself. */
void ow_command_line_clear(struct ow_command_line *command_line);

#endif
