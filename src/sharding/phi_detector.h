/**
 * @file
 * A phi accrual failure detector for one peer: from the intervals between its heartbeats it computes how
 * unlikely the present silence is, as phi = -log10(probability that a heartbeat still comes). No clock and no
 * I/O: all times are seconds of the caller's monotonic clock. The struct is plain data of its owner; nothing
 * is freed.
 */
#ifndef OW_SHARDING_PHI_DETECTOR_H
#define OW_SHARDING_PHI_DETECTOR_H

/** How many intervals between heartbeats are remembered. */
enum { OW_PHI_HISTORY = 100 };

/** The detector's samples. Written by the functions below only. */
struct ow_phi_detector {
    double expected_interval_s;         /**< assumed before enough intervals have been seen */
    double intervals_s[OW_PHI_HISTORY]; /**< the last ones, a ring */
    unsigned count;                     /**< how many of them are filled */
    unsigned next;                      /**< the one that is overwritten next */
    double sum_s;                       /**< of the intervals in the ring */
    double square_sum_s2;               /**< of their squares */
    double last_heartbeat_at;           /**< negative: none has come */
};

/** Initializes a detector that has not received any heartbeat. */
void ow_phi_detector_init(struct ow_phi_detector *detector, double expected_interval_s);
/** A heartbeat has come. */
void ow_phi_detector_add_heartbeat(struct ow_phi_detector *detector, double now);
/** Subtracts a pause of this process from the silence of the peer. */
void ow_phi_detector_exclude_pause(struct ow_phi_detector *detector, double pause_s);
/** Forgets all intervals, because the peer has restarted; the silence is still counted from its last
 * heartbeat. */
void ow_phi_detector_forget_intervals(struct ow_phi_detector *detector);
/** The present phi, from 0 to 300; 0 while the silence is not unusual, or nothing has ever been heard. */
double ow_phi_detector_phi(const struct ow_phi_detector *detector, double now);

#endif
