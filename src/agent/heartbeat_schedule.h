/**
 * @file
 * Decides when the next heartbeat is sent, and to which controller. It does no I/O and reads no clock: the
 * caller passes the time.
 *
 * States and transitions:
 *
 *     waiting --is_due(), record_sent()--> in flight
 *     in flight --record_accepted()--> waiting, for the same controller
 *     in flight --record_redirect()--> waiting, for the controller named in the redirect
 *     in flight --record_failure()---> waiting, for the next controller in the list
 *
 * Invariants: at most one heartbeat is in flight. While waiting, a change makes the next heartbeat due
 * immediately, but no sooner than half a second after the previous one.
 *
 * Times are in seconds, from a single monotonic clock chosen by the caller.
 */
#ifndef OW_AGENT_HEARTBEAT_SCHEDULE_H
#define OW_AGENT_HEARTBEAT_SCHEDULE_H

#include "agent/options.h"

#include <glib.h>
#include <stdbool.h>

/** The schedule of one agent; owned by the agent, and modified only by the functions below. */
struct agent_heartbeat_schedule {
    const struct agent_options *options;
    guint controller; /**< index of the current controller, to which heartbeats are sent */
    bool is_in_flight;
    bool is_changed; /**< the reported state has changed since the last heartbeat was encoded */
    double sent_at;  /**< when the last heartbeat was sent; set later to suppress early heartbeats */
    double due_at;   /**< when the next heartbeat is due even without a change */
    double fencing_token_change_at; /**< when a higher fencing token last triggered a heartbeat */
};

/** Initializes the schedule: the first heartbeat is due at `now`, to the first controller. `options` must
 * outlive the schedule. */
void agent_heartbeat_schedule_init(struct agent_heartbeat_schedule *schedule,
                                   const struct agent_options *options, double now);
/** Records that the state reported in heartbeats has changed. */
void agent_heartbeat_schedule_record_change(struct agent_heartbeat_schedule *schedule);
/** Records that a higher fencing token was seen. It counts as a change at most twice per lease, so that
 * rapidly changing leaders don't cause a burst of heartbeats from every agent. */
void agent_heartbeat_schedule_record_fencing_token(struct agent_heartbeat_schedule *schedule, double now);
/** Whether a heartbeat is due; false while one is in flight. */
bool agent_heartbeat_schedule_is_due(const struct agent_heartbeat_schedule *schedule, double now);
/** Records that a heartbeat is sent. `jitter` is a random number from -1 to 1, which spreads the heartbeats
 * of agents that started together. */
void agent_heartbeat_schedule_record_sent(struct agent_heartbeat_schedule *schedule, double now,
                                          double jitter);
/** Records that the controller has accepted the heartbeat. */
void agent_heartbeat_schedule_record_accepted(struct agent_heartbeat_schedule *schedule);
/** Records a redirect to another controller, which gets a heartbeat after `delay_s` (random, up to half a
 * second). An unknown name, the current controller or NULL is handled as a failure. */
void agent_heartbeat_schedule_record_redirect(struct agent_heartbeat_schedule *schedule, const char *name,
                                              double now, double delay_s);
/** Records that the controller did not answer or did not accept the heartbeat. */
void agent_heartbeat_schedule_record_failure(struct agent_heartbeat_schedule *schedule, double now);
/** The controller to which heartbeats are currently sent; owned by the options. */
const struct agent_controller *
agent_heartbeat_schedule_controller(const struct agent_heartbeat_schedule *schedule);

#endif
