/**
 * @file
 * Parses the command line of the program that serves as controller and as client.
 */
#ifndef OW_CONFIG_COMMAND_LINE_H
#define OW_CONFIG_COMMAND_LINE_H

#include <glib.h>
#include <stdbool.h>

/** The action that the program performs. */
enum ow_action {
    OW_ACTION_SERVE,   /**< run a controller */
    OW_ACTION_CHECK,   /**< check the settings and exit */
    OW_ACTION_VERSION, /**< print the version and exit */
    OW_ACTION_CLIENT,  /**< send one command to a controller */
};

/** A parsed command line. Strings are owned. */
struct ow_command_line {
    enum ow_action action;
    char *config;       /**< path of the platform's settings; not NULL with SERVE and CHECK */
    char *operators;    /**< path of the operators' settings; NULL: use the defaults */
    char *server;       /**< endpoint of the controller for client commands; NULL: not given */
    char **client_args; /**< the client's command and its argument, NULL-terminated; NULL: none */
};

/**
 * Parses the arguments. Without --server, the server is taken from OSPREYWELL_SERVER.
 *
 * @param error  G_OPTION_ERROR, or OW_CONFIG_ERROR_MISSING_FIELD if neither --config nor a command is given
 * @return false on an error; the caller must clear `out` in either case
 */
bool ow_command_line_parse(int argc, char **argv, struct ow_command_line *out, GError **error);
/** Frees the members of the command line, but not the struct itself. */
void ow_command_line_clear(struct ow_command_line *command_line);

#endif
