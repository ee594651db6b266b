/**
 * @file
 * A phi accrual failure detector for one peer: from the intervals between its heartbeats it computes how
 * unlikely the time since the last one is, as phi = -log10(probability that a heartbeat still arrives). No
 * clock and no I/O: all times are seconds of the caller's monotonic clock. The struct owns no memory and need
 * not be freed.
 */
#ifndef OW_SHARDING_PHI_DETECTOR_H
#define OW_SHARDING_PHI_DETECTOR_H

/** Number of samples (intervals between heartbeats) that are kept. */
enum { OW_PHI_HISTORY = 100 };

/** The detector's samples. Written by the functions below only. */
struct ow_phi_detector {
    double expected_interval_s;         /**< assumed until there are enough samples */
    double intervals_s[OW_PHI_HISTORY]; /**< ring buffer of samples */
    unsigned count;                     /**< number of samples in it */
    unsigned next;                      /**< index of the next sample to be overwritten */
    double sum_s;                       /**< sum of the samples */
    double square_sum_s2;               /**< sum of their squares */
    double last_heartbeat_at;           /**< negative: none received */
};

/** Initializes a detector that has not received any heartbeat. */
void ow_phi_detector_init(struct ow_phi_detector *detector, double expected_interval_s);
/** Records a heartbeat that arrived at `now`, and adds the interval since the last one as a sample. */
void ow_phi_detector_add_heartbeat(struct ow_phi_detector *detector, double now);
/** Excludes a pause of this process from the time since the peer's last heartbeat. */
void ow_phi_detector_exclude_pause(struct ow_phi_detector *detector, double pause_s);
/** Discards all samples, because the peer has restarted; the time of its last heartbeat is kept. */
void ow_phi_detector_forget_intervals(struct ow_phi_detector *detector);
/** The current phi, from 0 (a heartbeat is not overdue) to 300; 0 before the first heartbeat. */
double ow_phi_detector_phi(const struct ow_phi_detector *detector, double now);

#endif
