/**
 * @file
 * When the next heartbeat goes out, and to which controller. No I/O and no clock: the caller passes the time.
 *
 * States, and what leads from one to the next:
 *
 *     waiting --is_due(), record_sent()--> in flight
 *     in flight --record_accepted()--> waiting, for the same controller
 *     in flight --record_redirect()--> waiting, for the controller that was named
 *     in flight --record_failure()---> waiting, for the next controller in the list
 *
 * Invariants: one heartbeat is in flight at a time. While waiting, a change makes the next heartbeat due at
 * once, but never less than half a second after the last one.
 *
 * Times are steady, in seconds, from one clock of the caller's choice.
 */
#ifndef OW_AGENT_HEARTBEAT_SCHEDULE_H
#define OW_AGENT_HEARTBEAT_SCHEDULE_H

#include "agent/options.h"

#include <glib.h>
#include <stdbool.h>

/** The schedule of one agent; owned by the agent, and changed by the functions below alone. */
struct agent_heartbeat_schedule {
    const struct agent_options *options;
    guint controller; /**< index of the one that heartbeats go to */
    bool is_in_flight;
    bool is_changed; /**< what a heartbeat tells has changed since the last one was made */
    double sent_at;  /**< when the last one was sent; later than that while nothing may be sent early */
    double due_at;   /**< when the next one is due even if nothing changes */
    double fencing_token_change_at; /**< when a higher fencing token last counted as a change */
};

/** Begins with the first controller, at once. `options` must outlive the schedule. */
void agent_heartbeat_schedule_init(struct agent_heartbeat_schedule *schedule,
                                   const struct agent_options *options, double now);
/** Something that a heartbeat tells has changed. */
void agent_heartbeat_schedule_record_change(struct agent_heartbeat_schedule *schedule);
/** A higher fencing token was seen. It counts as a change at most twice in a lease, so that leaders that
 * replace each other quickly don't make every agent send at once. */
void agent_heartbeat_schedule_record_fencing_token(struct agent_heartbeat_schedule *schedule, double now);
/** Whether a heartbeat is to be sent now. */
bool agent_heartbeat_schedule_is_due(const struct agent_heartbeat_schedule *schedule, double now);
/** A heartbeat is sent. `jitter` is a random number from -1 to 1: agents that began together drift apart. */
void agent_heartbeat_schedule_record_sent(struct agent_heartbeat_schedule *schedule, double now,
                                          double jitter);
/** The controller has taken the heartbeat. */
void agent_heartbeat_schedule_record_accepted(struct agent_heartbeat_schedule *schedule);
/** The controller has named another one, which gets a heartbeat after `delay_s` (random, up to half a
 * second). One that is not known, the same one, or NULL is as good as a failure. */
void agent_heartbeat_schedule_record_redirect(struct agent_heartbeat_schedule *schedule, const char *name,
                                              double now, double delay_s);
/** The controller has not answered, or not taken the heartbeat. */
void agent_heartbeat_schedule_record_failure(struct agent_heartbeat_schedule *schedule, double now);
/** Where heartbeats go now; owned by the options. */
const struct agent_controller *
agent_heartbeat_schedule_controller(const struct agent_heartbeat_schedule *schedule);

#endif
