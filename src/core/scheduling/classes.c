#include "core/scheduling/classes.h"

#include "core/controller.h"

#include <math.h>
#include <string.h>

/* Weight of the newest run, and bounds that keep one odd job from ruling its class. */
static const double NEWEST = 0.05, RATIO_LEAST = 0.3, RATIO_MOST = 4, NO_AIM_SLACK_S = 80, PEAK_S = 150;

struct ow_class *ow_class_of(struct ow_controller *controller, int class_index)
{
    while (controller->classes->len <= (guint)class_index) {
        struct ow_class fresh = {.ratio = 1};
        g_array_append_val(controller->classes, fresh);
    }
    return &g_array_index(controller->classes, struct ow_class, class_index);
}

void ow_class_observe_job(struct ow_controller *controller, const struct ow_spec *spec)
{
    struct ow_class *c = ow_class_of(controller, spec->class_index);
    const struct ow_submission *s = spec->submission;
    c->estimate_s = c->seen ? c->estimate_s + 0.2 * (s->estimate_s - c->estimate_s) : s->estimate_s;
    c->image_gb = MAX(c->image_gb, s->image_gb);
    c->service = s->kind == OW_KIND_SERVICE;
    c->largest = MAX(c->largest, s->gang || c->service ? s->tasks : 1);
    c->need = s->need;
    c->gang = s->gang;
    c->spot = s->spot;
    c->rank = s->rank;
    c->types = spec->types;
    c->seen = true;
}

void ow_class_observe_run(struct ow_controller *controller, const struct ow_spec *spec, double ran_s)
{
    struct ow_class *c = ow_class_of(controller, spec->class_index);
    if (spec->submission->estimate_s <= 0)
        return;
    double ratio = CLAMP(ran_s / spec->submission->estimate_s, RATIO_LEAST, RATIO_MOST);
    c->ratio += NEWEST * (ratio - c->ratio);
}

double ow_class_peak(struct ow_controller *controller, int class_index, double tasks)
{
    struct ow_class *c = ow_class_of(controller, class_index);
    c->peak = MAX(tasks, c->peak * exp(-(controller->now - c->peak_at) / PEAK_S));
    c->peak_at = controller->now;
    return c->peak;
}

double ow_class_run_s(struct ow_controller *controller, const struct ow_spec *spec)
{
    return spec->submission->estimate_s * ow_class_of(controller, spec->class_index)->ratio;
}

double ow_class_slack_s(struct ow_controller *controller, int class_index)
{
    const struct ow_class *c = ow_class_of(controller, class_index);
    /* A replica that does not run is an outage, whatever aims are stated. */
    if (c->service)
        return 0;
    const char *name = ow_names_text(controller->names.classes, class_index);
    double slack = INFINITY;
    for (guint i = 0; i < controller->settings->objectives->len; i++) {
        const struct ow_objective *o =
            &g_array_index(controller->settings->objectives, struct ow_objective, i);
        if (strcmp(o->class_name, name) != 0)
            continue;
        /* The longer runs are the ones that decide whether the aim is met. */
        double run = o->kind == OW_OBJECTIVE_FINISHED ? 1.5 * c->estimate_s * c->ratio : 0;
        slack = MIN(slack, MAX(0, o->within_s - run));
    }
    return slack < INFINITY ? slack : NO_AIM_SLACK_S;
}

unsigned ow_class_missed(struct ow_controller *controller, int class_index, double age_s)
{
    const char *name = ow_names_text(controller->names.classes, class_index);
    unsigned missed = 0;
    for (guint i = 0; i < controller->settings->objectives->len; i++) {
        const struct ow_objective *o =
            &g_array_index(controller->settings->objectives, struct ow_objective, i);
        missed +=
            o->kind == OW_OBJECTIVE_WAIT && strcmp(o->class_name, name) == 0 && age_s > o->within_s ? 1 : 0;
    }
    return missed;
}

bool ow_class_has_objective(struct ow_controller *controller, int class_index)
{
    if (ow_class_of(controller, class_index)->service)
        return true;
    const char *name = ow_names_text(controller->names.classes, class_index);
    for (guint i = 0; i < controller->settings->objectives->len; i++)
        if (strcmp(g_array_index(controller->settings->objectives, struct ow_objective, i).class_name,
                   name) == 0)
            return true;
    return false;
}
