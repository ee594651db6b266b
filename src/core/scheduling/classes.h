/* What has been observed of each class of jobs, and how long its SLOs let it wait. */
#ifndef OW_CORE_SCHEDULING_CLASSES_H
#define OW_CORE_SCHEDULING_CLASSES_H

#include "core/jobs/job.h"
#include "model/resources.h"
#include "model/submission.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_core;

struct ow_class {
    double ratio; /* run time against the owners' estimates, as seen lately */
    bool seen;
    struct ow_resources need; /* of the last job */
    double estimate_s, image_gb;
    uint32_t largest; /* tasks of the largest gang or service */
    bool gang, spot, service;
    enum ow_rank rank;
    uint64_t types;
    double peak, peak_at;      /* tasks that ran or waited at once, decaying */
    double last_arrival_at;    /* when its newest job was accepted */
    double arrival_interval_s; /* mean time between two jobs, as seen lately */
};

/* Whether the jobs of the class allow machines of the type, as far as is known. */
static inline bool ow_class_allows_type(const struct ow_class *class, int type_index)
{
    return (class->types & (UINT64_C(1) << type_index)) != 0;
}
/* What is known of the class; valid until the next call. The list grows as class names come. */
struct ow_class *ow_class_of(struct ow_core *core, int class_index);
/* Takes in what a newly accepted job shows of its class. */
void ow_class_observe_job(struct ow_core *core, const struct ow_job_spec *spec, double accepted_at);
/* Takes in how long a task of the job ran, against its owner's estimate. */
void ow_class_observe_run_time(struct ow_core *core, const struct ow_job_spec *spec, double ran_s);
/* Takes in how many tasks of the class run or wait now; returns their decaying maximum. */
double ow_class_peak(struct ow_core *core, int class_index, double tasks);
/* Whether no job of the class has come for so long that hardly any more is to be expected soon. Never true of
   services: their replicas need capacity as long as they live. */
bool ow_class_is_quiet(struct ow_core *core, int class_index);
/* How long a task of the job runs, the estimate corrected by the ratio of its class. */
double ow_class_run_time_s(struct ow_core *core, const struct ow_job_spec *spec);
/* How long a task of the class may wait for its start without missing an SLO of its class. */
double ow_class_slack_s(struct ow_core *core, int class_index);
/* The shortest SLO for the start of a job of such an age that can still be met, in seconds from its
   acceptance; INFINITY if there is none. */
double ow_class_next_start_slo_s(struct ow_core *core, int class_index, double age_s);
/* How many SLOs for starting a job of such an age can no longer be met. */
unsigned ow_class_missed_start_slos(struct ow_core *core, int class_index, double age_s);
/* Whether the settings state an SLO for the class; services always have one. */
bool ow_class_has_slo(struct ow_core *core, int class_index);

#endif
