/* An accrual failure detector for one peer: from the intervals between its heartbeats it tells how unusual
 * the present silence is, as phi = -log10(probability that a heartbeat still comes). No clock and no I/O. */
#ifndef OW_SHARDING_PHI_DETECTOR_H
#define OW_SHARDING_PHI_DETECTOR_H

enum { OW_PHI_HISTORY = 100 };

struct ow_phi_detector {
    double expected_s;                /* the interval that is assumed before any has been seen */
    double intervals[OW_PHI_HISTORY]; /* the last ones, a ring */
    unsigned count, next;
    double sum, square_sum; /* of the intervals in the ring */
    double last_at;         /* when the last heartbeat came; negative: none has */
};

/* A detector that has not heard anything. */
void ow_phi_init(struct ow_phi_detector *detector, double expected_s);
/* A heartbeat has come. */
void ow_phi_heartbeat(struct ow_phi_detector *detector, double now);
/* This process itself stood still for so long: that silence is not the peer's. */
void ow_phi_forgive(struct ow_phi_detector *detector, double paused_s);
/* Forgets all intervals: the peer's process is another one. */
void ow_phi_restart(struct ow_phi_detector *detector);
/* 0 while the silence is not unusual, or nothing has ever been heard. */
double ow_phi(const struct ow_phi_detector *detector, double now);

#endif
