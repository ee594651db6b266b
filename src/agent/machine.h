/**
 * @file
 * The state of a machine: its incarnation, lease and tasks, and the rules by which it accepts commands.
 *
 * Invariants:
 * - Commands with a lower fencing token than the highest seen, or for another incarnation, are rejected. A
 *   machine therefore follows only the latest leader, although deposed leaders may still send commands.
 * - Only the answer to a heartbeat of this incarnation renews the lease, and only with an accepted token.
 * - When the lease expires, all tasks are killed and the next incarnation starts without tasks.
 *
 * The caller must call agent_machine_check_lease() before any other operation that may follow a pause: a
 * process that was suspended must not act under an expired lease.
 */
#ifndef OW_AGENT_MACHINE_H
#define OW_AGENT_MACHINE_H

#include "agent/heartbeat_schedule.h"
#include "agent/history.h"
#include "agent/incarnation.h"
#include "agent/lease.h"
#include "agent/options.h"
#include "agent/tasks.h"
#include "wire/worker_json.h"

#include <stdbool.h>
#include <stdint.h>

/** A machine; owned by the agent. */
struct agent_machine {
    const struct agent_options *options;
    struct agent_history history;
    struct agent_incarnation incarnation;
    struct agent_lease *lease;                 /**< owned */
    struct agent_tasks *tasks;                 /**< owned */
    struct agent_heartbeat_schedule *schedule; /**< notified of changes; owned by the agent */
    uint64_t sequence;                         /**< number of the last encoded heartbeat */
};

/** A heartbeat that awaits its answer. */
struct agent_sent_heartbeat {
    uint64_t incarnation; /**< that the heartbeat reported */
    double sent_at;       /**< by agent_clock_now() */
};

/** Timeout of a heartbeat's answer, in seconds. */
extern const double AGENT_HEARTBEAT_TIMEOUT_S;

/** Opens the history and the stored state: waits until the tasks of an earlier process have ended, and starts
 * an incarnation. Returns false on failure; `error` is not set if the history can't be opened. */
bool agent_machine_open(struct agent_machine *machine, const struct agent_options *options, GError **error);
/** Starts the lease, with an empty list of tasks. `schedule` must outlive the machine. */
void agent_machine_start(struct agent_machine *machine, struct agent_heartbeat_schedule *schedule);
/** Encodes a heartbeat with the current state and the next sequence number (g_free). */
char *agent_machine_encode_heartbeat(struct agent_machine *machine);
/** If the lease has expired, kills all tasks and starts the next incarnation. */
void agent_machine_check_lease(struct agent_machine *machine);
/** Checks which tasks have ended. */
void agent_machine_poll_tasks(struct agent_machine *machine);
/** Carries out commands that a controller has sent directly, rather than in an answer; false if they are
 * rejected. They must have a fencing token and an incarnation. `now` is by the schedule's clock. */
bool agent_machine_apply_direct(struct agent_machine *machine, const struct wire_command_batch *commands,
                                double now);
/** Renews the lease and carries out the commands in the answer to `heartbeat`, unless they are rejected. They
 * must have a fencing token. `now` is by the schedule's clock. */
void agent_machine_apply_answer(struct agent_machine *machine, const struct wire_command_batch *commands,
                                const struct agent_sent_heartbeat *heartbeat, double now);

#endif
