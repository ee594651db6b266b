/* The agent's lease, by its own clock, in a page that it shares with the supervisors of its tasks: they end
 * the tasks when it runs out even while the agent itself stands still. */
#ifndef OW_AGENT_LEASE_H
#define OW_AGENT_LEASE_H

#include <stdbool.h>
#include <stdint.h>

struct agent_lease;

/* Seconds of a steady clock that also counts while the machine is suspended. */
double agent_clock(void);

/* A lease that begins now; NULL if there is no memory to share. */
struct agent_lease *agent_lease_new(double lease_s);
void agent_lease_free(struct agent_lease *lease);
/* A report sent at this time has been answered by who is entitled to. An earlier one changes nothing. */
void agent_lease_renew(struct agent_lease *lease, double sent_at);
/* A new incarnation has begun. */
void agent_lease_restart(struct agent_lease *lease);
bool agent_lease_is_over(const struct agent_lease *lease);
/* When it runs out. */
double agent_lease_until(const struct agent_lease *lease);

#endif
