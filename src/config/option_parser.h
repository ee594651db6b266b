/**
 * @file
 * Parses the options of a program, with --help: the common part of the command lines of controller and agent.
 */
#ifndef OW_CONFIG_OPTION_PARSER_H
#define OW_CONFIG_OPTION_PARSER_H

#include <glib.h>
#include <stdbool.h>

/**
 * Reads the arguments into the places that the entries name. What --help asks for is printed, and the process
 * ends.
 *
 * @param argc,argv  the arguments of main(); argv is reordered
 * @param summary    what --help says before the options
 * @param entries    the options, ended by an empty entry
 * @param error      in the domain G_OPTION_ERROR
 * @return false on an error; what was read before it is still the caller's to free
 */
bool ow_option_parser_run(int argc, char **argv, const char *summary, const GOptionEntry *entries,
                          GError **error);

#endif
