/* The job table: every job ever accepted, by id. Final jobs keep little more than their id. */
#ifndef OW_CORE_JOBS_JOB_H
#define OW_CORE_JOBS_JOB_H

#include "model/submission.h"
#include "util/interner.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_execution;

/* A submission with its names as indices. */
struct ow_job_spec {
    struct ow_submission *submission;   /* owned */
    int class_index, team, image, zone; /* zone OW_NO_NAME: any */
    uint64_t types;                     /* a bit for each allowed type */
};

struct ow_job {
    char *id;
    enum ow_job_state state;        /* OW_JOB_QUEUED stands for every job that is not over */
    uint64_t version;               /* of its record */
    uint64_t accepted_revision;     /* the revision that accepted it: its place in the queue */
    double accepted_at;             /* when it was accepted, by our steady clock */
    double first_seen_at;           /* when this controller first saw it */
    struct ow_job_spec *spec;       /* NULL once it is over and no task is left */
    struct ow_execution *execution; /* the leader's */
    uint64_t cancel_fencing_token;  /* of a cancelled one: who led when that was recorded */
    bool cancellation_acked;        /* its cancellation has been acknowledged: users may be told of it */
    bool record_unread; /* cancelled before its record has been read: nothing else is known of it */
    /* Shown to users; nothing is decided by them. */
    int done, running;
    char *reason;
};

struct ow_jobs;

struct ow_interners {
    struct ow_interner *classes, *teams, *images, *zones, *types;
};

/* An empty table; `names` must outlive it. */
struct ow_jobs *ow_jobs_new(struct ow_interners *names);
/* Frees the table and its jobs; NULL is allowed. */
void ow_jobs_free(struct ow_jobs *jobs);
/* The job with this id, or NULL. */
struct ow_job *ow_jobs_find(const struct ow_jobs *jobs, const char *id);
/* Takes over `submission`. An older version than the known one changes nothing and answers NULL. */
struct ow_job *ow_jobs_apply(struct ow_jobs *jobs, const char *id, uint64_t version, enum ow_job_state state,
                             struct ow_submission *submission, double now, double age_s);
/* A cancellation that is committed, here or elsewhere; its tasks may still have to be ended. A job that is
   not known yet is recorded in the table, so that no older record of it, read later, lets it start. */
struct ow_job *ow_jobs_cancel(struct ow_jobs *jobs, const char *id, uint64_t version, uint64_t fencing_token);
/* The jobs that are not over, or are cancelled and may still have tasks, in no order. */
const GPtrArray *ow_jobs_open(const struct ow_jobs *jobs);
/* To be called when a job is over and no task of it is left: it leaves the open ones. */
void ow_jobs_close(struct ow_jobs *jobs, struct ow_job *job);
/** CPUs that the tasks of open jobs wait for, by the counts that are shown to users. */
double ow_jobs_waiting_cpus(const struct ow_jobs *jobs);

/* Whether it is done or cancelled. */
bool ow_job_over(const struct ow_job *job);
/* Sets the reason shown to users, which is copied; NULL: none. */
void ow_job_set_reason(struct ow_job *job, const char *reason);
/* Takes over `submission` and adds its names to the tables. */
struct ow_job_spec *ow_job_spec_new(struct ow_interners *names, struct ow_submission *submission);
/* Frees it and its submission; NULL is allowed. */
void ow_job_spec_free(struct ow_job_spec *spec);

#endif
