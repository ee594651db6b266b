/** @file
 * The job table: every job ever accepted, by id. Jobs that are over keep little more than their id. The
 * module owns the jobs and their specs; it neither reads nor writes records.
 */
#ifndef OW_CORE_JOBS_JOB_H
#define OW_CORE_JOBS_JOB_H

#include "core/type_sets.h"
#include "model/submission.h"
#include "util/interner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_execution;
struct ow_jobs;

/** The interners of the names that the core represents as indices. */
struct ow_interners {
    struct ow_interner *classes;
    struct ow_interner *teams;
    struct ow_interner *images;
    struct ow_interner *zones;
    struct ow_type_sets *types;
};

/** A submission with its names as indices. */
struct ow_job_spec {
    struct ow_submission *submission; /**< owned */
    int class_index;
    int team;
    int image;
    int zone;                  /**< OW_NO_NAME: any */
    struct ow_type_set *types; /**< the allowed types; a reference */
};

/** A job, as known to this controller. Times are by the core's clock, in seconds. */
struct ow_job {
    char *id;                          /**< owned */
    enum ow_job_state state;           /**< OW_JOB_QUEUED for every job that is not over, running or not */
    uint64_t mod_revision;             /**< of its record: the revision of the last change */
    uint64_t accepted_revision;        /**< the revision that accepted it, by which jobs are queued */
    double accepted_at;                /**< negative: before the origin of the clock */
    double first_seen_at;              /**< when this controller first saw it */
    struct ow_job_spec *spec;          /**< owned; NULL once it is over and no task is left */
    struct ow_execution *execution;    /**< the leader's; NULL: none */
    uint64_t cancel_fencing_token;     /**< of a cancelled job: that of the leader when the cancellation was
                                          recorded */
    bool is_cancellation_acknowledged; /**< the leader has acknowledged the cancellation: users may be told */
    bool is_record_unread; /**< cancelled before its record has been read: nothing else is known of it */
    /* Shown to users; no decision depends on them. */
    int done;     /**< tasks; OW_TASK_COUNT_UNKNOWN: not counted yet */
    int running;  /**< tasks; OW_TASK_COUNT_UNKNOWN: not counted yet */
    char *reason; /**< owned; why it waits; NULL: it does not, or that is not known */
};

/** Creates an empty table; freed by ow_jobs_free(). `names` must outlive it. */
struct ow_jobs *ow_jobs_new(struct ow_interners *names);
/** Frees the table and its jobs; NULL is allowed. */
void ow_jobs_free(struct ow_jobs *jobs);
/** The job with this id, or NULL. */
struct ow_job *ow_jobs_find(const struct ow_jobs *jobs, const char *id);
/** Applies a job's record, last changed at `mod_revision`. Takes ownership of `submission`; NULL: the job is
 * over and has no task left. `now` is by the core's clock. `age_s` is how long ago the job was accepted; used
 * only if it is new to the table. Returns the job, or NULL if the record is not newer than the known one:
 * nothing has changed then. */
struct ow_job *ow_jobs_apply(struct ow_jobs *jobs, const char *id, uint64_t mod_revision,
                             enum ow_job_state state, struct ow_submission *submission, double now,
                             double age_s);
/** Applies a cancellation that is committed, here or elsewhere; the job's tasks may still have to be ended. A
 * job that is not known yet is added to the table, so that an older record that is read later can't let it
 * start. Never returns NULL. */
struct ow_job *ow_jobs_cancel(struct ow_jobs *jobs, const char *id, uint64_t mod_revision,
                              uint64_t fencing_token);
/** The jobs (struct ow_job) that are not over, or are cancelled and may still have tasks, in no order. */
const GPtrArray *ow_jobs_open(const struct ow_jobs *jobs);
/** Removes a job from the open ones and frees its spec. The job must be over, with no task left. */
void ow_jobs_close(struct ow_jobs *jobs, struct ow_job *job);
/** CPUs that the waiting tasks of open jobs need, by the counts that are shown to users. */
double ow_jobs_waiting_cpus(const struct ow_jobs *jobs);

/** Whether the job is done or cancelled. */
bool ow_job_is_over(const struct ow_job *job);
/** Sets the reason shown to users, which is copied; NULL: none. */
void ow_job_set_reason(struct ow_job *job, const char *reason);
/** Creates a job's spec, which takes ownership of `submission`; its names are added to `names`. Freed by
 * ow_job_spec_free(). */
struct ow_job_spec *ow_job_spec_new(struct ow_interners *names, struct ow_submission *submission);
/** Frees a spec and its submission; NULL is allowed. */
void ow_job_spec_free(struct ow_job_spec *spec);

#endif
