/* Submissions of the simulated users. */
#include "sim_submissions.h"

#include "model/resources.h"

struct ow_submission *sim_job(const char *id, uint32_t tasks, double cpus)
{
    struct ow_submission *submission = g_new0(struct ow_submission, 1);
    submission->id = g_strdup(id);
    submission->class_name = g_strdup("class");
    submission->team = g_strdup("open");
    submission->rank = OW_RANK_STANDARD;
    submission->tasks = tasks;
    submission->need = (struct ow_resources){cpus, 0, 1};
    submission->image = g_strdup("img");
    submission->image_gb = 1;
    submission->spot = true;
    submission->estimate_s = 5;
    return submission;
}

void sim_set_team(struct ow_submission *submission, const char *team)
{
    g_free(submission->team);
    submission->team = g_strdup(team);
}

struct ow_submission *sim_service(const char *id, uint32_t replicas, double cpus)
{
    struct ow_submission *submission = sim_job(id, replicas, cpus);
    submission->kind = OW_KIND_SERVICE;
    submission->rank = OW_RANK_CRITICAL;
    submission->estimate_s = 0;
    submission->spot = false;
    return submission;
}

struct ow_submission *sim_gang(const char *id, uint32_t tasks, double cpus)
{
    struct ow_submission *submission = sim_job(id, tasks, cpus);
    submission->kind = OW_KIND_GANG;
    return submission;
}

struct ow_submission *sim_job_in_zone(const char *id, const char *zone, uint32_t tasks)
{
    struct ow_submission *job = sim_job(id, tasks, 1);
    job->zone = g_strdup(zone);
    return job;
}
