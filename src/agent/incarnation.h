/**
 * @file
 * The persistent state of the agent: the number of its incarnation, and the highest fencing token that it has
 * seen.
 *
 * Invariants:
 * - An incarnation ends with the agent's process, or when its lease expires. The next one starts only after
 * all tasks of the previous one have ended: the supervisors of tasks hold a lock that a new process waits
 * for.
 * - Both numbers never decrease, even across a crash: they are synced to disk before they are used.
 *
 * The state directory holds `lock` and `session`; the latter has the two numbers as text on one line.
 */
#ifndef OW_AGENT_INCARNATION_H
#define OW_AGENT_INCARNATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The stored numbers; owned by the agent, and modified only by the functions below. */
struct agent_incarnation {
    char *directory;        /**< owned */
    int lock_fd;            /**< held by the agent and by the supervisor of every task; -1: not held */
    uint64_t number;        /**< of the incarnation, from 1 */
    uint64_t fencing_token; /**< the highest one seen; 0: none yet */
};

/**
 * Waits, without a timeout, until all tasks of an earlier process have ended, and starts the next
 * incarnation.
 *
 * @param error  G_FILE_ERROR; the message names the path. A file that can't be parsed is also an error,
 *               G_FILE_ERROR_INVAL, because a machine must not restart its numbers at 1.
 * @return false on an error; the caller must close the incarnation in either case
 */
bool agent_incarnation_open(struct agent_incarnation *incarnation, const char *directory, GError **error);
/** Releases the lock and frees the members of the incarnation. */
void agent_incarnation_close(struct agent_incarnation *incarnation);
/** Starts the next incarnation, and stores its number before returning. If that fails, the process exits with
 * an error on standard error: after a restart it could use the same number again. */
void agent_incarnation_begin_next(struct agent_incarnation *incarnation);
/** Stores a higher fencing token before returning. If that fails, the process exits with an error on standard
 * error. */
void agent_incarnation_set_fencing_token(struct agent_incarnation *incarnation, uint64_t fencing_token);

#endif
