/* To which controller the agent reports, and when: as PROTOCOL says, one report under way at a time, soon
 * after a change but not more often than every half second, and another controller where one does not take
 * it. Pure. */
#ifndef OW_AGENT_REPORTER_H
#define OW_AGENT_REPORTER_H

#include "agent/options.h"

struct agent_reporter {
    const struct agent_options *options;
    guint controller; /* index of the one reported to */
    bool busy;        /* a report is under way */
    bool changed;     /* something has, since the last report was made */
    double sent_at, due_at;
    double token_change_at; /* when a higher token last counted as a change */
};

void agent_reporter_init(struct agent_reporter *reporter, const struct agent_options *options, double now);
/* Something that a report tells has changed. */
void agent_reporter_changed(struct agent_reporter *reporter);
/* A higher token was seen, which counts as a change only now and then. */
void agent_reporter_token_changed(struct agent_reporter *reporter, double now);
/* Whether a report is to be sent now. */
bool agent_reporter_is_due(const struct agent_reporter *reporter, double now);
/* A report leaves; `jitter` is a random number from -1 to 1. */
void agent_reporter_sent(struct agent_reporter *reporter, double now, double jitter);
/* The controller has taken the report. */
void agent_reporter_taken(struct agent_reporter *reporter);
/* It names another controller (NULL: none); `delay_s` up to half a second. */
void agent_reporter_misdirected(struct agent_reporter *reporter, const char *name, double now,
                                double delay_s);
/* It has not taken the report, or not answered. */
void agent_reporter_failed(struct agent_reporter *reporter, double now);
/* Where reports go now. */
const struct agent_controller *agent_reporter_controller(const struct agent_reporter *reporter);

#endif
