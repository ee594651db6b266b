/**
 * @file
 * An event log in JSON Lines format, to which the agent and the supervisors of its tasks append.
 *
 * The file keeps older names than the code ("session" for an incarnation, "token" for a fencing token),
 * because tools that evaluate runs read them; the mapping is confined to this module. Every line has `t`, the
 * machine's monotonic clock in seconds, `machine` and `event`. Recording does not allocate memory, so it is
 * safe in a forked process; an event that can't be written is reported on standard error and dropped.
 */
#ifndef OW_AGENT_HISTORY_H
#define OW_AGENT_HISTORY_H

#include "agent/attempt.h"
#include "agent/task_end.h"
#include "model/worker.h"

#include <stdbool.h>
#include <stdint.h>

/** An open history file; shared by the agent and the processes that it forks. */
struct agent_history {
    int fd;              /**< -1: nothing is recorded */
    const char *machine; /**< not owned */
};

/** A batch of commands as recorded, with the values that the agent compared it with. */
struct agent_history_commands {
    const char *via;                /**< how the batch arrived: "direct" or "answer" */
    uint64_t fencing_token;         /**< of the batch */
    uint64_t highest_fencing_token; /**< that the agent had seen before the batch */
    uint64_t incarnation;           /**< of the agent */
    unsigned count;                 /**< number of commands */
    bool is_accepted;
};

/**
 * Opens the file for appending, and creates it if it does not exist.
 *
 * @param path     NULL: nothing is recorded
 * @param machine  must outlive the history
 * @return false, without a message, if the file can't be opened
 */
bool agent_history_open(struct agent_history *history, const char *path, const char *machine);
/** Records that an incarnation of the agent has started. */
void agent_history_record_incarnation(const struct agent_history *history, uint64_t incarnation);
/** Records that the lease of this incarnation has expired. */
void agent_history_record_lease_expiry(const struct agent_history *history, uint64_t incarnation);
/** Records a new highest fencing token. */
void agent_history_record_fencing_token(const struct agent_history *history, uint64_t fencing_token);
/** Records a batch of commands, accepted or rejected. */
void agent_history_record_commands(const struct agent_history *history,
                                   const struct agent_history_commands *commands);
/** Records an accepted launch; `fencing_token` is the highest that the agent has seen. */
void agent_history_record_launch(const struct agent_history *history, const struct agent_attempt *attempt,
                                 uint64_t fencing_token);
/** Records that the agent has refused the attempt or detected its end. */
void agent_history_record_exit(const struct agent_history *history, const struct agent_attempt *attempt,
                               enum ow_exit_cause cause);
/** Records that the supervisor is about to start the task's process. */
void agent_history_record_task_start(const struct agent_history *history,
                                     const struct agent_attempt *attempt);
/** Records that the supervisor has detected the end of the task's process. */
void agent_history_record_task_end(const struct agent_history *history, const struct agent_attempt *attempt,
                                   enum agent_task_end end);

#endif
