/**
 * @file
 * A file to which the agent and the supervisors of its tasks append what happens, a JSON object a line.
 *
 * The names in the file are older than those of the code ("session" for an incarnation, "token" for a fencing
 * token) and are mapped here alone: whoever evaluates a run reads them. Every line has `t`, the machine's
 * steady clock in seconds, `machine` and `event`. Recording allocates nothing, so that a process just forked
 * may do it; an event that can't be written is reported on standard error and lost.
 */
#ifndef OW_AGENT_HISTORY_H
#define OW_AGENT_HISTORY_H

#include "agent/attempt.h"
#include "agent/task_end.h"
#include "model/worker.h"

#include <stdbool.h>
#include <stdint.h>

/** An open history; shared by the agent and the processes that it forks. */
struct agent_history {
    int fd;              /**< -1: nothing is recorded */
    const char *machine; /**< not owned */
};

/** A batch of commands as it is recorded, with what the agent compared it with. */
struct agent_history_commands {
    const char *via;                /**< how it came: "direct" or "answer" */
    uint64_t fencing_token;         /**< of the batch */
    uint64_t highest_fencing_token; /**< that the agent had seen before */
    uint64_t incarnation;           /**< of the agent */
    unsigned count;                 /**< of commands */
    bool is_accepted;
};

/**
 * Opens the file for appending, and makes it if it is not there.
 *
 * @param path     NULL: nothing is recorded
 * @param machine  must outlive the history
 * @return false, without a message, if the file can't be opened
 */
bool agent_history_open(struct agent_history *history, const char *path, const char *machine);
/** An incarnation of the agent begins. */
void agent_history_record_incarnation(const struct agent_history *history, uint64_t incarnation);
/** The lease of this incarnation has expired. */
void agent_history_record_lease_expiry(const struct agent_history *history, uint64_t incarnation);
/** A higher fencing token was seen. */
void agent_history_record_fencing_token(const struct agent_history *history, uint64_t fencing_token);
/** Commands have come, and were accepted or not. */
void agent_history_record_commands(const struct agent_history *history,
                                   const struct agent_history_commands *commands);
/** A launch is accepted; the token is the highest that the agent has seen. */
void agent_history_record_launch(const struct agent_history *history, const struct agent_attempt *attempt,
                                 uint64_t fencing_token);
/** The agent knows that the attempt is over, or has refused it. */
void agent_history_record_exit(const struct agent_history *history, const struct agent_attempt *attempt,
                               enum ow_exit_cause cause);
/** The supervisor is about to start the task's process. */
void agent_history_record_task_start(const struct agent_history *history,
                                     const struct agent_attempt *attempt);
/** The supervisor has seen the end of the task's process. */
void agent_history_record_task_end(const struct agent_history *history, const struct agent_attempt *attempt,
                                   enum agent_task_end end);

#endif
