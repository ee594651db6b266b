#include "agent/reporter.h"

#include <string.h>

/* Reports come at least so far apart; around the interval by this share; and a controller that did not take
   one is followed by the next after so long. */
static const double GAP_S = 0.5, JITTER_SHARE = 0.25, NEXT_S = 1;
/* A higher token counts as a change at most once in this share of the lease. */
static const double TOKEN_CHANGE_SHARE = 0.5;

void agent_reporter_init(struct agent_reporter *reporter, const struct agent_options *options, double now)
{
    *reporter = (struct agent_reporter){
        .options = options, .due_at = now, .sent_at = now - GAP_S, .token_change_at = now - options->lease_s};
}

void agent_reporter_changed(struct agent_reporter *reporter)
{
    reporter->changed = true;
}

void agent_reporter_token_changed(struct agent_reporter *reporter, double now)
{
    if (now - reporter->token_change_at < TOKEN_CHANGE_SHARE * reporter->options->lease_s)
        return;
    reporter->token_change_at = now;
    reporter->changed = true;
}

bool agent_reporter_is_due(const struct agent_reporter *reporter, double now)
{
    if (reporter->busy)
        return false;
    return now >= reporter->due_at || (reporter->changed && now >= reporter->sent_at + GAP_S);
}

void agent_reporter_sent(struct agent_reporter *reporter, double now, double jitter)
{
    reporter->busy = true;
    reporter->changed = false;
    reporter->sent_at = now;
    reporter->due_at = now + reporter->options->report_s * (1 + JITTER_SHARE * jitter);
}

void agent_reporter_taken(struct agent_reporter *reporter)
{
    reporter->busy = false;
}

/* The next controller gets a report after a second, whatever may change before. */
static void turn_to_next(struct agent_reporter *reporter, double now)
{
    bool is_last = reporter->controller + 1 >= reporter->options->controllers->len;
    reporter->controller = is_last ? 0 : reporter->controller + 1;
    reporter->sent_at = now + NEXT_S - GAP_S;
    reporter->due_at = now + NEXT_S;
}

void agent_reporter_misdirected(struct agent_reporter *reporter, const char *name, double now, double delay_s)
{
    const GArray *controllers = reporter->options->controllers;
    reporter->busy = false;
    for (guint i = 0; name != NULL && i < controllers->len; i++) {
        if (i == reporter->controller ||
            strcmp(g_array_index(controllers, struct agent_controller, i).name, name) != 0)
            continue;
        reporter->controller = i;
        reporter->due_at = now + delay_s;
        return;
    }
    turn_to_next(reporter, now);
}

void agent_reporter_failed(struct agent_reporter *reporter, double now)
{
    reporter->busy = false;
    turn_to_next(reporter, now);
}

const struct agent_controller *agent_reporter_controller(const struct agent_reporter *reporter)
{
    return &g_array_index(reporter->options->controllers, struct agent_controller, reporter->controller);
}
