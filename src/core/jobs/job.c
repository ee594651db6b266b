#include "core/jobs/job.h"

#include "model/submission.h"

struct ow_jobs {
    struct ow_interners *names;
    GHashTable *by_id; /* id -> struct ow_job, owned */
    GPtrArray *open;   /* struct ow_job, not owned */
};

struct ow_job_spec *ow_job_spec_new(struct ow_interners *names, struct ow_submission *submission)
{
    struct ow_job_spec *spec = g_new0(struct ow_job_spec, 1);
    spec->submission = submission;
    spec->class_index = ow_interner_intern(names->classes, submission->class_name);
    spec->team = ow_interner_intern(names->teams, submission->team);
    spec->image = ow_interner_intern(names->images, submission->image);
    spec->zone = submission->zone != NULL ? ow_interner_intern(names->zones, submission->zone) : OW_NO_NAME;
    spec->types = ow_type_sets_get(names->types, submission->types);
    return spec;
}

void ow_job_spec_free(struct ow_job_spec *spec)
{
    if (spec == NULL)
        return;
    ow_type_set_unref(spec->types);
    ow_submission_free(spec->submission);
    g_free(spec);
}

static void job_free(void *item)
{
    struct ow_job *job = item;
    ow_job_spec_free(job->spec);
    g_free(job->reason);
    g_free(job->id);
    g_free(job);
}

struct ow_jobs *ow_jobs_new(struct ow_interners *names)
{
    struct ow_jobs *jobs = g_new0(struct ow_jobs, 1);
    jobs->names = names;
    jobs->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    jobs->open = g_ptr_array_new();
    return jobs;
}

void ow_jobs_free(struct ow_jobs *jobs)
{
    if (jobs == NULL)
        return;
    g_ptr_array_free(jobs->open, TRUE);
    g_hash_table_destroy(jobs->by_id);
    g_free(jobs);
}

struct ow_job *ow_jobs_find(const struct ow_jobs *jobs, const char *id)
{
    return g_hash_table_lookup(jobs->by_id, id);
}

bool ow_job_is_over(const struct ow_job *job)
{
    return job->state == OW_JOB_DONE || job->state == OW_JOB_CANCELLED;
}

static struct ow_job *add_job(struct ow_jobs *jobs, const char *id, uint64_t mod_revision)
{
    struct ow_job *job = g_new0(struct ow_job, 1);
    job->id = g_strdup(id);
    job->accepted_revision = mod_revision;
    job->done = job->running = OW_TASK_COUNT_UNKNOWN;
    g_hash_table_insert(jobs->by_id, job->id, job);
    return job;
}

/* Whether a record of this mod_revision is newer than the known state. Replies to watches and lists may
   arrive out of order, and a job that is over must never be reopened. */
static bool is_newer(const struct ow_job *job, uint64_t mod_revision)
{
    if (job == NULL || mod_revision > job->mod_revision)
        return true;
    /* The cancellation was announced before its record was read: the record adds the other fields. */
    return job->is_record_unread && mod_revision >= job->mod_revision;
}

/* A cancelled job keeps its spec until the leader has proof that its last task has ended. */
static void set_spec(struct ow_jobs *jobs, struct ow_job *job, struct ow_submission *submission)
{
    if (submission != NULL && job->spec == NULL)
        job->spec = ow_job_spec_new(jobs->names, submission);
    else
        ow_submission_free(submission);
}

struct ow_job *ow_jobs_apply(struct ow_jobs *jobs, const char *id, uint64_t mod_revision,
                             enum ow_job_state state, struct ow_submission *submission, double now,
                             double age_s)
{
    struct ow_job *job = ow_jobs_find(jobs, id);
    if (!is_newer(job, mod_revision)) {
        ow_submission_free(submission);
        return NULL;
    }
    bool is_first_record = job == NULL || job->is_record_unread;
    bool is_final = submission == NULL; /* it is over and no task of it is left */
    if (job == NULL)
        job = add_job(jobs, id, mod_revision);
    if (is_first_record) {
        job->is_record_unread = false;
        job->first_seen_at = now;
        job->accepted_at = now - age_s;
    }
    job->mod_revision = mod_revision;
    job->state = state;
    set_spec(jobs, job, submission);
    if (ow_job_is_over(job))
        ow_job_set_reason(job, NULL);
    /* The final record of a cancelled job is written when no task is left. */
    if (job->state == OW_JOB_CANCELLED && is_final)
        job->is_cancellation_acknowledged = true;
    if (is_first_record && job->spec != NULL)
        g_ptr_array_add(jobs->open, job);
    else if (ow_job_is_over(job) && job->execution == NULL && is_final)
        ow_jobs_close(jobs, job);
    return job;
}

struct ow_job *ow_jobs_cancel(struct ow_jobs *jobs, const char *id, uint64_t mod_revision,
                              uint64_t fencing_token)
{
    struct ow_job *job = ow_jobs_find(jobs, id);
    if (job == NULL) {
        job = add_job(jobs, id, 0);
        job->accepted_revision = mod_revision;
        job->is_record_unread = true;
    }
    if (mod_revision <= job->mod_revision)
        return job;
    job->mod_revision = mod_revision;
    job->state = OW_JOB_CANCELLED;
    job->cancel_fencing_token = fencing_token;
    ow_job_set_reason(job, NULL);
    return job;
}

void ow_jobs_close(struct ow_jobs *jobs, struct ow_job *job)
{
    g_ptr_array_remove_fast(jobs->open, job);
    ow_job_spec_free(job->spec);
    job->spec = NULL;
}

const GPtrArray *ow_jobs_open(const struct ow_jobs *jobs)
{
    return jobs->open;
}

void ow_job_set_reason(struct ow_job *job, const char *reason)
{
    if (g_strcmp0(job->reason, reason) == 0)
        return;
    g_free(job->reason);
    job->reason = g_strdup(reason);
}

static double waiting_cpus(const struct ow_job *job)
{
    if (ow_job_is_over(job) || job->spec == NULL)
        return 0;
    const struct ow_submission *submission = job->spec->submission;
    int waiting = (int)submission->tasks - MAX(job->done, 0) - MAX(job->running, 0);
    return submission->need.cpus * MAX(waiting, 0);
}

double ow_jobs_waiting_cpus(const struct ow_jobs *jobs)
{
    double cpus = 0;
    for (guint i = 0; i < jobs->open->len; i++)
        cpus += waiting_cpus(g_ptr_array_index(jobs->open, i));
    return cpus;
}
