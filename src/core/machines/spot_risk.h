/** @file
 * How often the cloud reclaims spot machines, as seen lately. What was seen fades.
 */
#ifndef OW_CORE_MACHINES_SPOT_RISK_H
#define OW_CORE_MACHINES_SPOT_RISK_H

struct ow_leader;
struct ow_spot_risk;

/** Nothing has been seen yet; freed by ow_spot_risk_free(). */
struct ow_spot_risk *ow_spot_risk_new(void);
/** Frees it. */
void ow_spot_risk_free(struct ow_spot_risk *risk);

/** Notes that a spot machine has got a reclaim notice. */
void ow_spot_risk_observe_reclaim_notice(struct ow_leader *leader);
/** Takes in how many spot machines there are; to be called a few times a second. */
void ow_spot_risk_tick(struct ow_leader *leader);
/** The probability that a spot machine is reclaimed within `seconds`. */
double ow_spot_risk_within(const struct ow_leader *leader, double seconds);

#endif
