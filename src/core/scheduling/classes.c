#include "core/scheduling/classes.h"

#include "core/core_state.h"
#include "core/store_health.h"
#include "model/submission.h"

#include <math.h>
#include <string.h>

/* Weight of the newest run in the run-time ratio of its class. */
static const double RATIO_WEIGHT = 0.05;
/* Bounds of the ratio of a single run, which keep an outlier from dominating its class. */
static const double MIN_RATIO = 0.3;
static const double MAX_RATIO = 4;
/* Weight of the newest job in the mean estimate of its class. */
static const double ESTIMATE_WEIGHT = 0.2;
/* Slack of a class without SLOs. */
static const double NO_SLO_SLACK_S = 80;
/* Time constant of the exponential decay of the peak of a class. */
static const double PEAK_DECAY_S = 150;
/* Weight of the newest interval between two jobs of a class, and the interval assumed before the second
   job. */
static const double ARRIVAL_WEIGHT = 0.1;
static const double INITIAL_ARRIVAL_INTERVAL_S = 20;
/* A class is quiet when no job has arrived for this many mean intervals, and for at least this long. */
static const double QUIET_INTERVALS = 6;
static const double MIN_QUIET_S = 30;
/* The longer runs of a class are assumed to take this many times its expected run time. */
static const double LONG_RUN_FACTOR = 1.5;

static void clear_class(void *item)
{
    struct ow_class *class = item;
    g_clear_pointer(&class->types, ow_type_set_unref);
}

GArray *ow_classes_new(void)
{
    GArray *classes = g_array_new(FALSE, FALSE, sizeof(struct ow_class));
    g_array_set_clear_func(classes, clear_class);
    return classes;
}

struct ow_class *ow_class_of(struct ow_core *core, int class_index)
{
    while (core->classes->len <= (guint)class_index) {
        struct ow_class unobserved = {.run_time_ratio = 1};
        g_array_append_val(core->classes, unobserved);
    }
    return &g_array_index(core->classes, struct ow_class, class_index);
}

/* At a failover jobs are observed in any order: only a job accepted after all those observed gives an
   interval. */
static void observe_arrival(struct ow_class *class, double accepted_at)
{
    if (!class->seen) {
        class->arrival_interval_s = INITIAL_ARRIVAL_INTERVAL_S;
        class->last_arrival_at = accepted_at;
        return;
    }
    if (accepted_at <= class->last_arrival_at)
        return;
    double interval_s = accepted_at - class->last_arrival_at;
    class->arrival_interval_s += ARRIVAL_WEIGHT * (interval_s - class->arrival_interval_s);
    class->last_arrival_at = accepted_at;
}

void ow_class_observe_job(struct ow_core *core, const struct ow_job_spec *spec, double accepted_at)
{
    struct ow_class *class = ow_class_of(core, spec->class_index);
    const struct ow_submission *submission = spec->submission;
    observe_arrival(class, accepted_at);
    if (class->seen)
        class->estimate_s += ESTIMATE_WEIGHT * (submission->estimate_s - class->estimate_s);
    else
        class->estimate_s = submission->estimate_s;
    class->image_gb = MAX(class->image_gb, submission->image_gb);
    class->service = submission->kind == OW_KIND_SERVICE;
    bool is_group = ow_submission_is_gang(submission) || class->service;
    class->largest = MAX(class->largest, is_group ? submission->tasks : 1);
    class->need = submission->need;
    class->gang = ow_submission_is_gang(submission);
    class->spot = submission->spot;
    class->rank = submission->rank;
    ow_type_set_unref(class->types);
    class->types = ow_type_set_ref(spec->types);
    class->seen = true;
}

void ow_class_observe_run_time(struct ow_core *core, const struct ow_job_spec *spec, double ran_s)
{
    struct ow_class *class = ow_class_of(core, spec->class_index);
    if (spec->submission->estimate_s <= 0)
        return;
    double ratio = CLAMP(ran_s / spec->submission->estimate_s, MIN_RATIO, MAX_RATIO);
    class->run_time_ratio += RATIO_WEIGHT * (ratio - class->run_time_ratio);
}

double ow_class_update_peak(struct ow_core *core, int class_index, double tasks)
{
    struct ow_class *class = ow_class_of(core, class_index);
    class->peak = MAX(tasks, class->peak * exp(-(core->now - class->peak_at) / PEAK_DECAY_S));
    class->peak_at = core->now;
    return class->peak;
}

bool ow_class_is_quiet(struct ow_core *core, int class_index)
{
    const struct ow_class *class = ow_class_of(core, class_index);
    /* While the store is unavailable no job can be accepted, so the time without arrivals says nothing
       about the class. */
    if (class->service || !class->seen || !ow_store_health_is_ok(core->store_health))
        return false;
    double limit_s = MAX(MIN_QUIET_S, QUIET_INTERVALS * class->arrival_interval_s);
    return core->now - class->last_arrival_at > limit_s;
}

double ow_class_run_time_s(struct ow_core *core, const struct ow_job_spec *spec)
{
    return spec->submission->estimate_s * ow_class_of(core, spec->class_index)->run_time_ratio;
}

static bool is_slo_of(const struct ow_slo *slo, const char *class_name)
{
    return strcmp(slo->class_name, class_name) == 0;
}

/* How long a task may wait without missing the SLO. The longer runs decide whether a finish SLO is met. */
static double slo_slack_s(const struct ow_slo *slo, const struct ow_class *class)
{
    double run_time_s = 0;
    if (slo->kind == OW_SLO_FINISHED)
        run_time_s = LONG_RUN_FACTOR * class->estimate_s * class->run_time_ratio;
    return MAX(0, slo->within_s - run_time_s);
}

double ow_class_slack_s(struct ow_core *core, int class_index)
{
    const struct ow_class *class = ow_class_of(core, class_index);
    /* A replica that doesn't run is an outage, whatever the SLOs. */
    if (class->service)
        return 0;
    const char *name = ow_interner_text(core->interners.classes, class_index);
    double slack_s = INFINITY;
    for (guint i = 0; i < core->settings->slos->len; i++) {
        const struct ow_slo *slo = &g_array_index(core->settings->slos, struct ow_slo, i);
        if (is_slo_of(slo, name))
            slack_s = MIN(slack_s, slo_slack_s(slo, class));
    }
    return slack_s < INFINITY ? slack_s : NO_SLO_SLACK_S;
}

static bool is_start_slo(const struct ow_slo *slo, const char *class_name)
{
    return slo->kind == OW_SLO_WAIT && is_slo_of(slo, class_name);
}

unsigned ow_class_missed_start_slos(struct ow_core *core, int class_index, double age_s)
{
    const char *name = ow_interner_text(core->interners.classes, class_index);
    unsigned missed = 0;
    for (guint i = 0; i < core->settings->slos->len; i++) {
        const struct ow_slo *slo = &g_array_index(core->settings->slos, struct ow_slo, i);
        if (is_start_slo(slo, name) && age_s > slo->within_s)
            missed++;
    }
    return missed;
}

double ow_class_next_start_slo_s(struct ow_core *core, int class_index, double age_s)
{
    const char *name = ow_interner_text(core->interners.classes, class_index);
    double next_s = INFINITY;
    for (guint i = 0; i < core->settings->slos->len; i++) {
        const struct ow_slo *slo = &g_array_index(core->settings->slos, struct ow_slo, i);
        if (is_start_slo(slo, name) && slo->within_s > age_s)
            next_s = MIN(next_s, slo->within_s);
    }
    return next_s;
}

bool ow_class_has_slo(struct ow_core *core, int class_index)
{
    if (ow_class_of(core, class_index)->service)
        return true;
    const char *name = ow_interner_text(core->interners.classes, class_index);
    for (guint i = 0; i < core->settings->slos->len; i++) {
        const struct ow_slo *slo = &g_array_index(core->settings->slos, struct ow_slo, i);
        if (is_slo_of(slo, name))
            return true;
    }
    return false;
}
