/** @file
 * Estimate of the rate at which the cloud reclaims spot machines, from exponentially decaying observations.
 */
#ifndef OW_CORE_MACHINES_SPOT_RISK_H
#define OW_CORE_MACHINES_SPOT_RISK_H

struct ow_leader;
struct ow_spot_risk;

/** Creates an estimate without observations; freed by ow_spot_risk_free(). */
struct ow_spot_risk *ow_spot_risk_new(void);
/** Frees the estimate. @param risk may be NULL */
void ow_spot_risk_free(struct ow_spot_risk *risk);

/** Counts a reclaim notice for a spot machine. */
void ow_spot_risk_observe_reclaim_notice(struct ow_leader *leader);
/** Adds the time for which the present spot machines have been observed, and decays older observations; to be
 * called a few times a second. */
void ow_spot_risk_tick(struct ow_leader *leader);
/** Returns the probability that a spot machine is reclaimed within `seconds`. */
double ow_spot_risk_within(const struct ow_leader *leader, double seconds);

#endif
