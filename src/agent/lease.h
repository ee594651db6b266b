/**
 * @file
 * The agent's lease: how long its tasks may run without an answer from a controller.
 *
 * It is stored in memory shared with the supervisors of the tasks, so that they kill the tasks when it
 * expires even while the agent is suspended. Only the agent writes it.
 *
 * Invariant: a renewal counts from when the heartbeat was *sent*, not from when its answer was received. A
 * controller that no longer hears from the machine therefore knows when its tasks have ended at the latest
 * (core/machines/machine_health.c).
 */
#ifndef OW_AGENT_LEASE_H
#define OW_AGENT_LEASE_H

#include <glib.h>
#include <stdbool.h>

/** The lease of a machine, in memory that the agent shares with the processes that it forks. */
typedef struct agent_lease agent_lease;

/** Seconds of a monotonic clock that includes the time for which the machine is suspended. */
double agent_clock_now(void);

/** Creates a lease of `lease_s` seconds from now; NULL if the shared memory can't be mapped. */
struct agent_lease *agent_lease_new(double lease_s);
/** Frees the lease; processes forked before keep their mapping. NULL is allowed. */
void agent_lease_free(struct agent_lease *lease);
/** Extends the lease after a heartbeat sent at `sent_at` (agent_clock_now()) was answered and the answer
 * accepted. Never shortens the lease. */
void agent_lease_renew(struct agent_lease *lease, double sent_at);
/** Restarts the lease from now, for a new incarnation. */
void agent_lease_restart(struct agent_lease *lease);
/** Whether the lease has expired by agent_clock_now(). */
bool agent_lease_is_expired(const struct agent_lease *lease);
/** When the lease expires, by agent_clock_now(). */
double agent_lease_expires_at(const struct agent_lease *lease);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(agent_lease, agent_lease_free)

#endif
