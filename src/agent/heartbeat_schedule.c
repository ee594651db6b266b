#include "agent/heartbeat_schedule.h"

#include <string.h>

/* Minimum time between heartbeats, even if the state changes more often. */
static const double MIN_INTERVAL_S = 0.5;
/* Maximum deviation from the heartbeat interval, as a fraction of it. */
static const double JITTER_SHARE = 0.25;
/* Delay before a heartbeat is sent to the next controller after a failure. */
static const double NEXT_CONTROLLER_DELAY_S = 1;
/* Minimum time between two heartbeats triggered by a higher fencing token, as a fraction of the lease. */
static const double FENCING_TOKEN_CHANGE_SHARE = 0.5;

void agent_heartbeat_schedule_init(struct agent_heartbeat_schedule *schedule,
                                   const struct agent_options *options, double now)
{
    *schedule = (struct agent_heartbeat_schedule){.options = options,
                                                  .due_at = now,
                                                  .sent_at = now - MIN_INTERVAL_S,
                                                  .fencing_token_change_at = now - options->lease_s};
}

void agent_heartbeat_schedule_record_change(struct agent_heartbeat_schedule *schedule)
{
    schedule->is_changed = true;
}

void agent_heartbeat_schedule_record_fencing_token(struct agent_heartbeat_schedule *schedule, double now)
{
    double min_interval_s = FENCING_TOKEN_CHANGE_SHARE * schedule->options->lease_s;
    if (now - schedule->fencing_token_change_at < min_interval_s)
        return;
    schedule->fencing_token_change_at = now;
    schedule->is_changed = true;
}

bool agent_heartbeat_schedule_is_due(const struct agent_heartbeat_schedule *schedule, double now)
{
    if (schedule->is_in_flight)
        return false;
    return now >= schedule->due_at || (schedule->is_changed && now >= schedule->sent_at + MIN_INTERVAL_S);
}

void agent_heartbeat_schedule_record_sent(struct agent_heartbeat_schedule *schedule, double now,
                                          double jitter)
{
    schedule->is_in_flight = true;
    schedule->is_changed = false;
    schedule->sent_at = now;
    schedule->due_at = now + schedule->options->heartbeat_interval_s * (1 + JITTER_SHARE * jitter);
}

void agent_heartbeat_schedule_record_accepted(struct agent_heartbeat_schedule *schedule)
{
    schedule->is_in_flight = false;
}

/* The next heartbeat is sent after NEXT_CONTROLLER_DELAY_S, even if the state changes before. */
static void switch_to_next_controller(struct agent_heartbeat_schedule *schedule, double now)
{
    bool is_last = schedule->controller + 1 >= schedule->options->controllers->len;
    schedule->controller = is_last ? 0 : schedule->controller + 1;
    schedule->sent_at = now + NEXT_CONTROLLER_DELAY_S - MIN_INTERVAL_S;
    schedule->due_at = now + NEXT_CONTROLLER_DELAY_S;
}

/* Index of the controller of this name, which may be NULL; -1 if there is none or it is the current one. */
static int find_other_controller(const struct agent_heartbeat_schedule *schedule, const char *name)
{
    const GArray *controllers = schedule->options->controllers;
    for (guint i = 0; name != NULL && i < controllers->len; i++)
        if (i != schedule->controller &&
            strcmp(g_array_index(controllers, struct agent_controller, i).name, name) == 0)
            return (int)i;
    return -1;
}

void agent_heartbeat_schedule_record_redirect(struct agent_heartbeat_schedule *schedule, const char *name,
                                              double now, double delay_s)
{
    int other = find_other_controller(schedule, name);
    schedule->is_in_flight = false;
    if (other < 0) {
        switch_to_next_controller(schedule, now);
        return;
    }
    schedule->controller = (guint)other;
    schedule->due_at = now + delay_s;
}

void agent_heartbeat_schedule_record_failure(struct agent_heartbeat_schedule *schedule, double now)
{
    schedule->is_in_flight = false;
    switch_to_next_controller(schedule, now);
}

const struct agent_controller *
agent_heartbeat_schedule_controller(const struct agent_heartbeat_schedule *schedule)
{
    return &g_array_index(schedule->options->controllers, struct agent_controller, schedule->controller);
}
