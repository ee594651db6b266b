/** @file
 * How far monotonic clocks of two computers may run apart (safety rule 9: every bound on time allows for
 * drift and a margin). The margin is the caller's: it depends on what happens between the two ends of the
 * period.
 */
#ifndef OW_UTIL_CLOCK_DRIFT_H
#define OW_UTIL_CLOCK_DRIFT_H

/** The share of a period by which another computer's clock may be ahead of ours or behind it. */
#define OW_CLOCK_DRIFT 0.002

/** The longest, in seconds of our clock, that a period of `period_s` seconds of another clock may take. */
static inline double ow_clock_drift_longest_s(double period_s)
{
    return period_s * (1 + OW_CLOCK_DRIFT);
}

/** The shortest, in seconds of our clock, that a period of `period_s` seconds of another clock may take. */
static inline double ow_clock_drift_shortest_s(double period_s)
{
    return period_s * (1 - OW_CLOCK_DRIFT);
}

#endif
