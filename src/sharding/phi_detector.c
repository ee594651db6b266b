#include "sharding/phi_detector.h"

#include <math.h>

/* Lower bound of the standard deviation, as a fraction of the mean: otherwise a slight delay after very
   regular heartbeats would raise phi steeply. */
static const double DEVIATION_SHARE_MIN = 0.25;
/* With fewer samples than this, the expected interval is used as mean and as standard deviation. */
enum { INTERVALS_MIN = 5 };
/* Upper bound of an interval that is added, as a multiple of the mean. */
static const double INTERVAL_GROWTH_MAX = 3;
/* Upper bound of phi: beyond it the probability underflows a double. */
static const double PHI_MAX = 300;

void ow_phi_detector_init(struct ow_phi_detector *detector, double expected_interval_s)
{
    *detector = (struct ow_phi_detector){.expected_interval_s = expected_interval_s, .last_heartbeat_at = -1};
}

/* Estimates the parameters of a normal distribution of the intervals. */
static void estimate(const struct ow_phi_detector *detector, double *mean_s, double *deviation_s)
{
    if (detector->count < INTERVALS_MIN) {
        *mean_s = detector->expected_interval_s;
        *deviation_s = detector->expected_interval_s;
        return;
    }
    *mean_s = detector->sum_s / detector->count;
    double variance_s2 = detector->square_sum_s2 / detector->count - *mean_s * *mean_s;
    *deviation_s = fmax(sqrt(fmax(variance_s2, 0)), DEVIATION_SHARE_MIN * *mean_s);
}

static void add_interval(struct ow_phi_detector *detector, double interval_s)
{
    double *slot = &detector->intervals_s[detector->next];
    double mean_s = 0;
    double deviation_s = 0;
    estimate(detector, &mean_s, &deviation_s);
    /* A very long interval indicates a failure, not network latency. Unbounded, it would raise the mean so
       much that the next failure is detected late. The mean still adapts to a slower network, in several
       steps. */
    interval_s = fmin(interval_s, INTERVAL_GROWTH_MAX * mean_s);
    if (detector->count == OW_PHI_HISTORY) {
        detector->sum_s -= *slot;
        detector->square_sum_s2 -= *slot * *slot;
    } else {
        detector->count++;
    }
    *slot = interval_s;
    detector->sum_s += interval_s;
    detector->square_sum_s2 += interval_s * interval_s;
    detector->next = (detector->next + 1) % OW_PHI_HISTORY;
}

void ow_phi_detector_add_heartbeat(struct ow_phi_detector *detector, double now)
{
    if (detector->last_heartbeat_at >= 0 && now > detector->last_heartbeat_at)
        add_interval(detector, now - detector->last_heartbeat_at);
    detector->last_heartbeat_at = now;
}

void ow_phi_detector_exclude_pause(struct ow_phi_detector *detector, double pause_s)
{
    if (detector->last_heartbeat_at >= 0)
        detector->last_heartbeat_at += pause_s;
}

void ow_phi_detector_forget_intervals(struct ow_phi_detector *detector)
{
    double last_heartbeat_at = detector->last_heartbeat_at;
    ow_phi_detector_init(detector, detector->expected_interval_s);
    detector->last_heartbeat_at = last_heartbeat_at;
}

double ow_phi_detector_phi(const struct ow_phi_detector *detector, double now)
{
    if (detector->last_heartbeat_at < 0 || now <= detector->last_heartbeat_at)
        return 0;
    double mean_s = 0;
    double deviation_s = 0;
    estimate(detector, &mean_s, &deviation_s);
    double deviations = (now - detector->last_heartbeat_at - mean_s) / deviation_s;
    double probability = 0.5 * erfc(deviations / sqrt(2));
    if (probability <= pow(10, -PHI_MAX))
        return PHI_MAX;
    return fmax(0, -log10(probability));
}
