/** @file
 * The answers of a controller in words, on standard output. What an answer lacks counts as empty or 0. */
#ifndef OW_CLIENT_PRINT_H
#define OW_CLIENT_PRINT_H

#include <jansson.h>

/** Prints the state of a job, and why it waits. */
void ow_print_job(const json_t *answer);
/** Prints a line for each team: what it runs and waits for. */
void ow_print_teams(const json_t *answer);
/** Prints a line for each controller: whether it is alive, and what it leads. */
void ow_print_controllers(const json_t *answer);
/** Prints each shard: who leads it, and the last steps of its handovers. */
void ow_print_shards(const json_t *answer);

#endif
