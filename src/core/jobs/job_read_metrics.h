/** @file
 * Counts the reads that keep the job table up to date, for the periodic log line of job_cache.c.
 */
#ifndef OW_CORE_JOBS_JOB_READ_METRICS_H
#define OW_CORE_JOBS_JOB_READ_METRICS_H

#include <stdbool.h>

/** The refreshes and watches since the last reset. Times are seconds of the core's clock. */
struct ow_job_read_metrics {
    unsigned refreshes;
    unsigned failed_refreshes;
    unsigned failed_watches;
    int last_failure; /**< HTTP status of the last failure; 0 also stands for none */
    double slowest_s; /**< longest time from a refresh to its answer */
    double sent_at;   /**< when the refresh in flight was sent */
};

/** Counts the answer to the refresh that was sent at `sent_at`. */
void ow_job_read_metrics_note_refresh(struct ow_job_read_metrics *metrics, int status, double now);
/** Counts a failed watch. */
void ow_job_read_metrics_note_failed_watch(struct ow_job_read_metrics *metrics, int status);
/** Whether no read has ended since the last reset. */
bool ow_job_read_metrics_is_empty(const struct ow_job_read_metrics *metrics);
/** Resets the counts; a refresh may be in flight. */
void ow_job_read_metrics_reset(struct ow_job_read_metrics *metrics);

#endif
