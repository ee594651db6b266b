/** @file What the tests of the agent share: options of a machine, and a directory for its state. */
#ifndef OW_TESTS_AGENT_SETUP_H
#define OW_TESTS_AGENT_SETUP_H

#include "agent/options.h"

/** A machine of 4 CPUs with three controllers; the caller owns the list of these. */
struct agent_options agent_setup_options(void);
/** A new directory; the caller ends it with agent_setup_remove(). */
char *agent_setup_directory(void);
/** Removes the directory with the files that an agent leaves in it, and frees its name. */
void agent_setup_remove(char *directory);

#endif
