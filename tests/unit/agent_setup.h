/** @file Setup shared by the tests of the agent: options of a machine, and a directory for its state. */
#ifndef OW_TESTS_AGENT_SETUP_H
#define OW_TESTS_AGENT_SETUP_H

#include "agent/options.h"

/** The options of a machine with 4 CPUs and three controllers. The caller frees the array of controllers; the
 * strings are static. */
struct agent_options agent_setup_options(void);
/** Creates a temporary directory and returns its path, to be passed to agent_setup_remove_directory(). */
char *agent_setup_create_directory(void);
/** Removes the directory with the files that agents and their tests write to it, and frees `directory`. */
void agent_setup_remove_directory(char *directory);

#endif
