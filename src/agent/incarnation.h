/* What must outlive the agent's process: the number of its incarnation, and the highest fencing token it has
 * seen. A process that starts again begins a new incarnation, and does so only when no task of the last one
 * is left.
 */
#ifndef OW_AGENT_INCARNATION_H
#define OW_AGENT_INCARNATION_H

#include <stdbool.h>
#include <stdint.h>

struct agent_incarnation {
    char *directory;
    int lock_fd; /* held by the agent and by the supervisor of every task */
    uint64_t number, fencing_token;
};

/* Waits until all tasks of an earlier process have ended, and begins the next incarnation. False after a
   message on standard error. */
bool agent_incarnation_open(struct agent_incarnation *incarnation, const char *directory);
void agent_incarnation_close(struct agent_incarnation *incarnation);
/* Begins the next incarnation: it is stored before this returns. The process ends if that fails, for it could
   not keep its promise after a restart. */
void agent_incarnation_begin_next(struct agent_incarnation *incarnation);
/* Remembers a higher fencing token in the same way. */
void agent_incarnation_set_fencing_token(struct agent_incarnation *incarnation, uint64_t fencing_token);

#endif
