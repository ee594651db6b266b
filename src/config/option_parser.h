/**
 * @file
 * Parses command line options and --help, for both the controller and the agent.
 */
#ifndef OW_CONFIG_OPTION_PARSER_H
#define OW_CONFIG_OPTION_PARSER_H

#include <glib.h>
#include <stdbool.h>

/**
 * Parses the arguments into the variables of the entries. --help prints the usage and exits the process.
 *
 * @param argc,argv  the arguments of main(); argv is reordered
 * @param summary    text that --help prints before the options
 * @param entries    the options, terminated by an empty entry
 * @param error      in the domain G_OPTION_ERROR
 * @return false on an error; the caller must still free values parsed before it
 */
bool ow_option_parser_run(int argc, char **argv, const char *summary, const GOptionEntry *entries,
                          GError **error);

#endif
