/**
 * @file
 * The agent process of one machine: it sends heartbeats to one controller at a time, accepts direct commands
 * from any controller, and makes no scheduling decisions.
 *
 * It owns the event loop and the sockets. machine.h carries out commands; heartbeat_schedule.h decides when
 * and where heartbeats are sent.
 */
#ifndef OW_AGENT_AGENT_H
#define OW_AGENT_AGENT_H

#include "agent/options.h"

/** Runs until the process is terminated. Returns only if startup fails, after printing an error to standard
 * error (no error is printed if the history file can't be opened). */
void agent_run(const struct agent_options *options);

#endif
