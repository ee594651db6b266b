/**
 * @file
 * What the agent stands for: its incarnation, lease and tasks, and which controllers' commands it obeys.
 *
 * Invariants:
 * - Commands with a lower fencing token than the highest seen, or for another incarnation, change nothing.
 *   So the tasks of a machine follow one leader, the latest, although deposed ones may still send commands.
 * - Only the answer to a heartbeat of this incarnation renews the lease, and only with an accepted token.
 * - When the lease expires all tasks are killed, and the next incarnation begins without any.
 *
 * Before anything else that it is asked for after a pause, the machine looks at its lease
 * (agent_machine_check_lease()): one that stood still must not act for a lease that has expired.
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

/** The state of the machine; owned by the agent. */
struct agent_machine {
    const struct agent_options *options;
    struct agent_history history;
    struct agent_incarnation incarnation;
    struct agent_lease *lease;                 /**< owned */
    struct agent_tasks *tasks;                 /**< owned */
    struct agent_heartbeat_schedule *schedule; /**< learns what has changed; the agent's */
    uint64_t sequence; /**< number of the last message that tells the machine's state */
};

/** A heartbeat that waits for its answer. */
struct agent_sent_heartbeat {
    uint64_t incarnation; /**< that it told */
    double sent_at;       /**< by agent_clock_now() */
};

/** How long the answer to a heartbeat is waited for, in seconds. */
extern const double AGENT_HEARTBEAT_TIMEOUT_S;

/** Opens the stored state: waits until the tasks of an earlier process are gone, and begins an incarnation.
 * False on an error; without one being set if it is the history that can't be opened. */
bool agent_machine_open(struct agent_machine *machine, const struct agent_options *options, GError **error);
/** Begins to serve, without a task. `schedule` must outlive the machine. */
void agent_machine_start(struct agent_machine *machine, struct agent_heartbeat_schedule *schedule);
/** The text of a message that tells the state (g_free); each has a number of its own. */
char *agent_machine_encode_heartbeat(struct agent_machine *machine);
/** Begins the next incarnation if the lease has expired. */
void agent_machine_check_lease(struct agent_machine *machine);
/** Looks which tasks have ended. */
void agent_machine_poll_tasks(struct agent_machine *machine);
/** Carries out commands that a controller has sent by itself; false if they are not accepted. They must name
 * a fencing token and an incarnation. `now` is the schedule's time. */
bool agent_machine_apply_direct(struct agent_machine *machine, const struct wire_command_batch *commands,
                                double now);
/** Carries out the commands in the answer to this heartbeat, and renews the lease, if they are accepted. They
 * must name a fencing token. */
void agent_machine_apply_answer(struct agent_machine *machine, const struct wire_command_batch *commands,
                                const struct agent_sent_heartbeat *heartbeat, double now);

#endif
