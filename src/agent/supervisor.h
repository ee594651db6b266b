/* Runs the command of one task under a process of its own, the supervisor, which ends the task when the lease
 * runs out, when the agent is gone, and when the agent has told it to. */
#ifndef OW_AGENT_SUPERVISOR_H
#define OW_AGENT_SUPERVISOR_H

#include "agent/history.h"
#include "agent/lease.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <sys/types.h>

/* How a task ended. */
enum agent_task_end {
    AGENT_END_NONE, /* it has not */
    AGENT_END_EXIT, /* by itself: see the status */
    AGENT_END_SIGNAL,
    AGENT_END_STOPPED,   /* told to, and gone by itself in time: see the status */
    AGENT_END_KILLED,    /* told to, and killed at the end of its grace */
    AGENT_END_LEASE,     /* killed: the lease has run out */
    AGENT_END_NO_AGENT,  /* killed: the agent is gone */
    AGENT_END_NOT_BEGUN, /* its command could not be run */
};

struct agent_supervisor;

/* What a task is run with. */
struct agent_task_command {
    const char *job;
    uint32_t task;
    uint64_t attempt;
    char **words;
    const struct agent_lease *lease;
    const struct agent_history *history;
    int lock_fd; /* the supervisor keeps it open */
};

/* NULL if no process or memory is to be had. */
struct agent_supervisor *agent_supervisor_start(const struct agent_task_command *command);
/* Asks the task to end (SIGTERM), and kills it after `grace_s`. A second call can only shorten the grace. */
void agent_supervisor_stop(struct agent_supervisor *supervisor, double grace_s);
/* How the task has ended; AGENT_END_NONE while it runs. *status is its exit status. */
enum agent_task_end agent_supervisor_poll(struct agent_supervisor *supervisor, int *status);
/* Kills the task if it still runs, waits until it is gone, and frees the supervisor. */
void agent_supervisor_free(struct agent_supervisor *supervisor);

#endif
