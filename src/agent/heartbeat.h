/* To which controller the agent reports, and when: as PROTOCOL says, one report under way at a time, soon
 * after a change but not more often than every half second, and another controller where one does not take
 * it. Pure. */
#ifndef OW_AGENT_HEARTBEAT_H
#define OW_AGENT_HEARTBEAT_H

#include "agent/options.h"

struct agent_heartbeat {
    const struct agent_options *options;
    guint controller; /* index of the one reported to */
    bool busy;        /* a heartbeat is under way */
    bool changed;     /* something has, since the last heartbeat was made */
    double sent_at, due_at;
    double fencing_token_change_at; /* when a higher fencing token last counted as a change */
};

void agent_heartbeat_init(struct agent_heartbeat *heartbeat_timer, const struct agent_options *options,
                          double now);
/* Something that a heartbeat tells has changed. */
void agent_heartbeat_changed(struct agent_heartbeat *heartbeat_timer);
/* A higher fencing token was seen, which counts as a change only now and then. */
void agent_heartbeat_fencing_token_changed(struct agent_heartbeat *heartbeat_timer, double now);
/* Whether a heartbeat is to be sent now. */
bool agent_heartbeat_is_due(const struct agent_heartbeat *heartbeat_timer, double now);
/* A report leaves; `jitter` is a random number from -1 to 1. */
void agent_heartbeat_sent(struct agent_heartbeat *heartbeat_timer, double now, double jitter);
/* The controller has taken the heartbeat. */
void agent_heartbeat_accepted(struct agent_heartbeat *heartbeat_timer);
/* It names another controller (NULL: none); `delay_s` up to half a second. */
void agent_heartbeat_misdirected(struct agent_heartbeat *heartbeat_timer, const char *name, double now,
                                 double delay_s);
/* It has not taken the heartbeat, or not answered. */
void agent_heartbeat_failed(struct agent_heartbeat *heartbeat_timer, double now);
/* Where reports go now. */
const struct agent_controller *agent_heartbeat_controller(const struct agent_heartbeat *heartbeat_timer);

#endif
