/* What must outlive the agent's process: the number of its session, and the highest token it has seen. A
 * process that starts again begins a new session, and does so only when no task of the last one is left. */
#ifndef OW_AGENT_SESSION_H
#define OW_AGENT_SESSION_H

#include <stdbool.h>
#include <stdint.h>

struct agent_session {
    char *directory;
    int lock_fd; /* held by the agent and by the supervisor of every task */
    uint64_t number, token;
};

/* Waits until all tasks of an earlier process have ended, and begins the next session. False after a message
   on standard error. */
bool agent_session_open(struct agent_session *session, const char *directory);
void agent_session_close(struct agent_session *session);
/* Begins the next session: it is stored before this returns. The process ends if that fails, for it could not
   keep its promise after a restart. */
void agent_session_begin_next(struct agent_session *session);
/* Remembers a higher token in the same way. */
void agent_session_set_token(struct agent_session *session, uint64_t token);

#endif
