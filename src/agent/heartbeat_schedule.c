#include "agent/heartbeat_schedule.h"

#include <string.h>

/* Heartbeats are at least this far apart, however often something changes. */
static const double GAP_S = 0.5;
/* How far a heartbeat may be from the interval, as a share of it. */
static const double JITTER_SHARE = 0.25;
/* A controller that did not take a heartbeat is followed by the next one after this time. */
static const double NEXT_CONTROLLER_S = 1;
/* A higher fencing token counts as a change at most once in this share of the lease. */
static const double FENCING_TOKEN_CHANGE_SHARE = 0.5;

void agent_heartbeat_schedule_init(struct agent_heartbeat_schedule *schedule,
                                   const struct agent_options *options, double now)
{
    *schedule = (struct agent_heartbeat_schedule){.options = options,
                                                  .due_at = now,
                                                  .sent_at = now - GAP_S,
                                                  .fencing_token_change_at = now - options->lease_s};
}

void agent_heartbeat_schedule_record_change(struct agent_heartbeat_schedule *schedule)
{
    schedule->is_changed = true;
}

void agent_heartbeat_schedule_record_fencing_token(struct agent_heartbeat_schedule *schedule, double now)
{
    double least_s = FENCING_TOKEN_CHANGE_SHARE * schedule->options->lease_s;
    if (now - schedule->fencing_token_change_at < least_s)
        return;
    schedule->fencing_token_change_at = now;
    schedule->is_changed = true;
}

bool agent_heartbeat_schedule_is_due(const struct agent_heartbeat_schedule *schedule, double now)
{
    if (schedule->is_in_flight)
        return false;
    return now >= schedule->due_at || (schedule->is_changed && now >= schedule->sent_at + GAP_S);
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

/* The next controller gets a heartbeat after a second, whatever may change before. */
static void turn_to_next(struct agent_heartbeat_schedule *schedule, double now)
{
    bool is_last = schedule->controller + 1 >= schedule->options->controllers->len;
    schedule->controller = is_last ? 0 : schedule->controller + 1;
    schedule->sent_at = now + NEXT_CONTROLLER_S - GAP_S;
    schedule->due_at = now + NEXT_CONTROLLER_S;
}

/* The index of another controller than the one of now by its name, which may be NULL; -1: there is none. */
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
        turn_to_next(schedule, now);
        return;
    }
    schedule->controller = (guint)other;
    schedule->due_at = now + delay_s;
}

void agent_heartbeat_schedule_record_failure(struct agent_heartbeat_schedule *schedule, double now)
{
    schedule->is_in_flight = false;
    turn_to_next(schedule, now);
}

const struct agent_controller *
agent_heartbeat_schedule_controller(const struct agent_heartbeat_schedule *schedule)
{
    return &g_array_index(schedule->options->controllers, struct agent_controller, schedule->controller);
}
