/* The agent of one machine: it reports to one controller at a time, and obeys the one with the highest
 * fencing token.
 */
#ifndef OW_AGENT_AGENT_H
#define OW_AGENT_AGENT_H

#include "agent/options.h"

/* Serves until the process is ended; returns only if it can't begin, after a message on standard error. */
void agent_run(const struct agent_options *options);

#endif
