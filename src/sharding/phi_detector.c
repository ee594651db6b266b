#include "sharding/phi_detector.h"

#include <math.h>

/* The deviation counts as at least this share of the mean: very regular heartbeats say little about the first
   late one. */
static const double DEVIATION_SHARE_MIN = 0.25;
/* Before so many intervals have been seen the expected one counts, with its full length as deviation. */
enum { INTERVALS_LEAST = 5 };
/* An interval counts as at most so many times the mean. */
static const double INTERVAL_GROWTH_MAX = 3;
/* Beyond this the probability is too small for a double. */
static const double PHI_MAX = 300;

void ow_phi_init(struct ow_phi_detector *detector, double expected_s)
{
    *detector = (struct ow_phi_detector){.expected_s = expected_s, .last_at = -1};
}

static void estimate(const struct ow_phi_detector *detector, double *mean, double *deviation)
{
    if (detector->count < INTERVALS_LEAST) {
        *mean = *deviation = detector->expected_s;
        return;
    }
    *mean = detector->sum / detector->count;
    double variance = detector->square_sum / detector->count - *mean * *mean;
    *deviation = fmax(sqrt(fmax(variance, 0)), DEVIATION_SHARE_MIN * *mean);
}

static void add_interval(struct ow_phi_detector *detector, double interval_s)
{
    double *slot = &detector->intervals[detector->next];
    double mean = 0, deviation = 0;
    estimate(detector, &mean, &deviation);
    /* A failure is no sample of the network: taken whole, one long silence would hide the next for as long as
       it stays in the history. A network that has really become slower is followed in steps. */
    interval_s = fmin(interval_s, INTERVAL_GROWTH_MAX * mean);
    if (detector->count == OW_PHI_HISTORY) {
        detector->sum -= *slot;
        detector->square_sum -= *slot * *slot;
    } else {
        detector->count++;
    }
    *slot = interval_s;
    detector->sum += interval_s;
    detector->square_sum += interval_s * interval_s;
    detector->next = (detector->next + 1) % OW_PHI_HISTORY;
}

void ow_phi_heartbeat(struct ow_phi_detector *detector, double now)
{
    if (detector->last_at >= 0 && now > detector->last_at)
        add_interval(detector, now - detector->last_at);
    detector->last_at = now;
}

void ow_phi_forgive(struct ow_phi_detector *detector, double paused_s)
{
    if (detector->last_at >= 0)
        detector->last_at += paused_s;
}

void ow_phi_restart(struct ow_phi_detector *detector)
{
    double last_at = detector->last_at;
    ow_phi_init(detector, detector->expected_s);
    detector->last_at = last_at;
}

double ow_phi(const struct ow_phi_detector *detector, double now)
{
    double mean = 0, deviation = 0;
    if (detector->last_at < 0 || now <= detector->last_at)
        return 0;
    estimate(detector, &mean, &deviation);
    double silence = (now - detector->last_at - mean) / deviation;
    double still_comes = 0.5 * erfc(silence / sqrt(2));
    if (still_comes <= pow(10, -PHI_MAX))
        return PHI_MAX;
    return fmax(0, -log10(still_comes));
}
