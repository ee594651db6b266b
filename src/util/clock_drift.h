/** @file
 * Bounds for the drift between the monotonic clocks of two computers (safety rule 9: every time bound allows
 * for drift and a margin). The caller adds the margin, which depends on what happens at the two ends of the
 * period.
 */
#ifndef OW_UTIL_CLOCK_DRIFT_H
#define OW_UTIL_CLOCK_DRIFT_H

/** Maximum relative drift: the share of a period by which another clock may run ahead of ours or behind. */
#define OW_CLOCK_DRIFT 0.002

/** Returns the longest time on our clock, in seconds, that `period_s` seconds on another clock may take. */
static inline double ow_clock_drift_longest_s(double period_s)
{
    return period_s * (1 + OW_CLOCK_DRIFT);
}

/** Returns the shortest time on our clock, in seconds, that `period_s` seconds on another clock may take. */
static inline double ow_clock_drift_shortest_s(double period_s)
{
    return period_s * (1 - OW_CLOCK_DRIFT);
}

#endif
