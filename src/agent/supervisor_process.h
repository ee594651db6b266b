/**
 * @file
 * The supervisor process of a task: it starts the task, monitors it, and ends it.
 *
 * The task is killed when its lease expires, at the deadline of a stop request, when the agent has exited, or
 * when the supervisor dies (by the task's parent-death signal). A task therefore never outlives its lease,
 * and once a restarted agent holds the incarnation's lock, no task of its predecessor is left.
 *
 * The process is forked without exec, possibly while another thread holds allocator locks, so it must not
 * allocate memory.
 */
#ifndef OW_AGENT_SUPERVISOR_PROCESS_H
#define OW_AGENT_SUPERVISOR_PROCESS_H

#include "agent/attempt.h"
#include "agent/history.h"
#include "agent/lease.h"

#include <stdatomic.h>
#include <sys/types.h>

/** The command of a task and its execution context. Nothing is owned. */
struct agent_task_command {
    struct agent_attempt attempt;
    char **argv; /**< the program and its arguments, NULL-terminated */
    const struct agent_lease *lease;
    const struct agent_history *history;
    int lock_fd; /**< the incarnation's lock, which the supervisor holds until it exits */
};

/** Memory shared by the agent and the supervisor. */
struct agent_supervisor_page {
    _Atomic double stop_deadline; /**< written by the agent: kill time by agent_clock_now(); 0: no stop */
    _Atomic int end;              /**< written by the supervisor, after `status`: enum agent_task_end */
    _Atomic int status;           /**< written by the supervisor: exit status; -1 after a signal */
};

/** Runs the task until it has ended. Returns the exit status with which the supervisor process must exit.
 * `agent` is the pid of its parent. */
int agent_supervisor_process_run(const struct agent_task_command *command, struct agent_supervisor_page *page,
                                 pid_t agent);

#endif
