/**
 * @file
 * The agent of one machine: it sends heartbeats to one controller at a time, takes direct commands from all,
 * and decides nothing.
 *
 * It owns the loop and the sockets. What the machine does with commands is in machine.h, and when and where
 * heartbeats go in heartbeat_schedule.h.
 */
#ifndef OW_AGENT_AGENT_H
#define OW_AGENT_AGENT_H

#include "agent/options.h"

/** Serves until the process is ended. Returns only if it can't begin, after a message on standard error (none
 * if it is the history that can't be opened). */
void agent_run(const struct agent_options *options);

#endif
