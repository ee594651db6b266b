/* The random mix of jobs of the workload scenario, its teams and its SLOs. */
#include "workload_jobs.h"

#include "sim_submissions.h"

/* The number of job seeds for each seed of a scenario. */
enum { JOB_SEEDS = 1000 };

/* The classes of jobs; each but the first has an SLO. */
static char batch_class[] = "batch", training_class[] = "training", serving_class[] = "serving",
            reporting_class[] = "report";
/* Teams with guarantees, in addition to those of every simulated cluster. */
static char vision_team[] = "vision", speech_team[] = "speech";

static bool one_in(GRand *rand, int count)
{
    return g_rand_int_range(rand, 0, count) == 0;
}

void workload_job_id(char *id, size_t size, int job)
{
    g_snprintf(id, size, "run-%d", job);
}

static void set_class(struct ow_submission *submission, const char *class_name)
{
    g_free(submission->class_name);
    submission->class_name = g_strdup(class_name);
}

/* Jobs of all classes share a few images, of which the larger ones are slow to fetch. */
static void set_image(struct ow_submission *submission, GRand *rand)
{
    static const double sizes_gb[] = {0.5, 2, 8, 30};
    int image = g_rand_int_range(rand, 0, G_N_ELEMENTS(sizes_gb));
    g_free(submission->image);
    submission->image = g_strdup_printf("image-%d", image);
    submission->image_gb = sizes_gb[image];
}

static void set_random_team(struct ow_submission *submission, GRand *rand)
{
    static const char *teams[] = {"open", "open", "open", "tight", "vision", "vision", "speech", "speech"};
    const char *team = teams[g_rand_int_range(rand, 0, G_N_ELEMENTS(teams))];
    sim_set_team(submission, one_in(rand, 40) ? "unknown" : team);
}

static void set_placement(struct ow_submission *submission, GRand *rand)
{
    submission->one_zone = one_in(rand, 4);
    submission->spread = one_in(rand, 4);
    if (one_in(rand, 8))
        submission->zone = g_strdup(one_in(rand, 2) ? "east" : "west");
    if (one_in(rand, 8))
        submission->types = g_strsplit(submission->need.gpus > 0 ? "gpu" : "big", " ", 0);
}

/* Includes deadlines that are shorter than the estimate and can't be met. */
static void set_durations(struct ow_submission *submission, GRand *rand)
{
    submission->estimate_s = g_rand_double_range(rand, 2, 40);
    if (one_in(rand, 2)) {
        submission->checkpoint_interval_s = g_rand_double_range(rand, 1, 10);
        submission->checkpoint_duration_s = g_rand_double_range(rand, 0, 2);
    }
    if (one_in(rand, 3))
        submission->deadline_s = submission->estimate_s * g_rand_double_range(rand, 0.5, 10);
}

static struct ow_submission *random_array(const char *id, GRand *rand)
{
    static const double cpus[] = {0.5, 1, 2, 4, 8, 16};
    struct ow_submission *submission = sim_job(id, 1 + (uint32_t)g_rand_int_range(rand, 0, 24),
                                               cpus[g_rand_int_range(rand, 0, G_N_ELEMENTS(cpus))]);
    if (one_in(rand, 4))
        submission->need = (struct ow_resources){1, 1, 1};
    set_class(submission, one_in(rand, 3) ? reporting_class : batch_class);
    set_durations(submission, rand);
    return submission;
}

/* Two thirds are small gangs, which can start before large ones that wait. */
static struct ow_submission *random_gang(const char *id, GRand *rand)
{
    bool large = one_in(rand, 3);
    uint32_t members = (uint32_t)g_rand_int_range(rand, large ? 4 : 1, large ? 9 : 4);
    struct ow_submission *submission = sim_gang(id, members, large ? 16 : 8);
    if (one_in(rand, 3))
        submission->need = (struct ow_resources){2, one_in(rand, 2) ? 2 : 1, 1};
    set_class(submission, one_in(rand, 4) ? batch_class : training_class);
    set_durations(submission, rand);
    return submission;
}

static struct ow_submission *random_service(const char *id, GRand *rand)
{
    struct ow_submission *submission =
        sim_service(id, 1 + (uint32_t)g_rand_int_range(rand, 0, 5), one_in(rand, 3) ? 8 : 1);
    if (one_in(rand, 6))
        submission->need = (struct ow_resources){1, 1, 1};
    set_class(submission, serving_class);
    return submission;
}

struct ow_submission *workload_job_new(guint32 scenario_seed, int job)
{
    static struct ow_submission *(*const kinds[])(const char *, GRand *) = {
        random_array, random_array, random_array, random_gang, random_gang, random_service};
    char id[16];
    workload_job_id(id, sizeof id, job);
    GRand *rand = g_rand_new_with_seed(scenario_seed * JOB_SEEDS + (guint32)job);
    struct ow_submission *submission = kinds[g_rand_int_range(rand, 0, G_N_ELEMENTS(kinds))](id, rand);
    submission->rank = (enum ow_rank)g_rand_int_range(rand, OW_RANK_CRITICAL, OW_RANK_LOW + 1);
    submission->spot = !one_in(rand, 3);
    set_image(submission, rand);
    set_random_team(submission, rand);
    set_placement(submission, rand);
    g_rand_free(rand);
    return submission;
}

void workload_set_teams_and_slos(struct ow_settings *settings)
{
    const struct ow_team_settings teams[] = {
        {.name = vision_team, .cpus = 24, .gpus = 4, .gpus_max = 6},
        {.name = speech_team, .cpus = 48, .cpus_max = 64, .gpus_max = 2},
    };
    const struct ow_slo slos[] = {
        {OW_SLO_WAIT, training_class, 60, 0.9},
        {OW_SLO_WAIT, serving_class, 10, 0.9},
        {OW_SLO_FINISHED, reporting_class, 120, 0.8},
    };
    g_array_append_vals(settings->teams, teams, G_N_ELEMENTS(teams));
    g_array_append_vals(settings->slos, slos, G_N_ELEMENTS(slos));
}
