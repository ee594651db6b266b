/** @file
 * Prints the answers of a controller as text to standard output. Missing fields are printed as empty or 0. */
#ifndef OW_CLIENT_PRINT_H
#define OW_CLIENT_PRINT_H

#include <jansson.h>

/** Prints the state of a job, and the reason for which it waits. */
void ow_print_job(const json_t *answer);
/** Prints a line for each team: its jobs, and the resources of its running and waiting tasks. */
void ow_print_teams(const json_t *answer);
/** Prints whether the controllers agree on their settings, and a line for each: its state and the shards that
 * it leads. */
void ow_print_controllers(const json_t *answer);
/** Prints each shard: its state, its leader, and the most recent steps of its failovers. */
void ow_print_shards(const json_t *answer);

#endif
