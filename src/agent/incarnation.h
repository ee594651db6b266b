/**
 * @file
 * What must outlive the agent's process: the number of its incarnation, and the highest fencing token that it
 * has seen.
 *
 * Invariants:
 * - An incarnation ends with the agent's process, and when its lease expires. The next one begins only when
 * no task of the last one is left: the supervisors of tasks hold a lock that a new process waits for.
 * - Both numbers only grow, also across a crash: they are on the disk before anything is done with them.
 *
 * In the state directory are `lock` and `session`, the two numbers as text in one line.
 */
#ifndef OW_AGENT_INCARNATION_H
#define OW_AGENT_INCARNATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The stored numbers; owned by the agent, and changed by the functions below alone. */
struct agent_incarnation {
    char *directory;        /**< owned */
    int lock_fd;            /**< held by the agent and by the supervisor of every task; -1: not yet */
    uint64_t number;        /**< of the incarnation, from 1 */
    uint64_t fencing_token; /**< the highest one seen; 0: none yet */
};

/**
 * Waits, without a bound, until all tasks of an earlier process have ended, and begins the next incarnation.
 *
 * @param error  G_FILE_ERROR; the message names the path. A file that can't be understood is an error too,
 *               G_FILE_ERROR_INVAL: a machine must not begin at 1 again.
 * @return false on an error; the incarnation is to be closed either way
 */
bool agent_incarnation_open(struct agent_incarnation *incarnation, const char *directory, GError **error);
/** Gives the lock up and frees what the incarnation holds. */
void agent_incarnation_close(struct agent_incarnation *incarnation);
/** Begins the next incarnation, which is stored when this returns. If that fails, the process ends after a
 * message on standard error, for after a restart it could not keep its promise. */
void agent_incarnation_begin_next(struct agent_incarnation *incarnation);
/** Remembers a higher fencing token; it is stored, or the process ends, in the same way. */
void agent_incarnation_set_fencing_token(struct agent_incarnation *incarnation, uint64_t fencing_token);

#endif
