#include "agent/heartbeat.h"

#include <string.h>

/* Reports come at least so far apart; around the interval by this share; and a controller that did not take
   one is followed by the next after so long. */
static const double GAP_S = 0.5, JITTER_SHARE = 0.25, NEXT_S = 1;
/* A higher fencing token counts as a change at most once in this share of the lease. */
static const double FENCING_TOKEN_CHANGE_SHARE = 0.5;

void agent_heartbeat_init(struct agent_heartbeat *heartbeat_timer, const struct agent_options *options,
                          double now)
{
    *heartbeat_timer = (struct agent_heartbeat){.options = options,
                                                .due_at = now,
                                                .sent_at = now - GAP_S,
                                                .fencing_token_change_at = now - options->lease_s};
}

void agent_heartbeat_changed(struct agent_heartbeat *heartbeat_timer)
{
    heartbeat_timer->changed = true;
}

void agent_heartbeat_fencing_token_changed(struct agent_heartbeat *heartbeat_timer, double now)
{
    if (now - heartbeat_timer->fencing_token_change_at <
        FENCING_TOKEN_CHANGE_SHARE * heartbeat_timer->options->lease_s)
        return;
    heartbeat_timer->fencing_token_change_at = now;
    heartbeat_timer->changed = true;
}

bool agent_heartbeat_is_due(const struct agent_heartbeat *heartbeat_timer, double now)
{
    if (heartbeat_timer->busy)
        return false;
    return now >= heartbeat_timer->due_at ||
           (heartbeat_timer->changed && now >= heartbeat_timer->sent_at + GAP_S);
}

void agent_heartbeat_sent(struct agent_heartbeat *heartbeat_timer, double now, double jitter)
{
    heartbeat_timer->busy = true;
    heartbeat_timer->changed = false;
    heartbeat_timer->sent_at = now;
    heartbeat_timer->due_at =
        now + heartbeat_timer->options->heartbeat_interval_s * (1 + JITTER_SHARE * jitter);
}

void agent_heartbeat_accepted(struct agent_heartbeat *heartbeat_timer)
{
    heartbeat_timer->busy = false;
}

/* The next controller gets a heartbeat after a second, whatever may change before. */
static void turn_to_next(struct agent_heartbeat *heartbeat_timer, double now)
{
    bool is_last = heartbeat_timer->controller + 1 >= heartbeat_timer->options->controllers->len;
    heartbeat_timer->controller = is_last ? 0 : heartbeat_timer->controller + 1;
    heartbeat_timer->sent_at = now + NEXT_S - GAP_S;
    heartbeat_timer->due_at = now + NEXT_S;
}

void agent_heartbeat_misdirected(struct agent_heartbeat *heartbeat_timer, const char *name, double now,
                                 double delay_s)
{
    const GArray *controllers = heartbeat_timer->options->controllers;
    heartbeat_timer->busy = false;
    for (guint i = 0; name != NULL && i < controllers->len; i++) {
        if (i == heartbeat_timer->controller ||
            strcmp(g_array_index(controllers, struct agent_controller, i).name, name) != 0)
            continue;
        heartbeat_timer->controller = i;
        heartbeat_timer->due_at = now + delay_s;
        return;
    }
    turn_to_next(heartbeat_timer, now);
}

void agent_heartbeat_failed(struct agent_heartbeat *heartbeat_timer, double now)
{
    heartbeat_timer->busy = false;
    turn_to_next(heartbeat_timer, now);
}

const struct agent_controller *agent_heartbeat_controller(const struct agent_heartbeat *heartbeat_timer)
{
    return &g_array_index(heartbeat_timer->options->controllers, struct agent_controller,
                          heartbeat_timer->controller);
}
