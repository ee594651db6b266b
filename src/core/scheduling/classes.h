/** @file
 * Classes: what has been observed of the jobs of each class, and how long its SLOs let one wait.
 *
 * Input: each accepted job, each run that ended, and the SLOs of the settings. Result: expected run times,
 * slack and demand. The module owns the observations, which are the core's, so that they outlive a term as
 * leader. Invariant: they only inform decisions; a class that has not been seen has neutral values.
 */
#ifndef OW_CORE_SCHEDULING_CLASSES_H
#define OW_CORE_SCHEDULING_CLASSES_H

#include "core/jobs/job.h"
#include "model/resources.h"
#include "model/submission.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_core;

/** What is known of a class. Times are by the core's clock, in seconds. */
struct ow_class {
    double run_time_ratio; /**< run time against the owners' estimates, as seen lately; 1: as estimated */
    bool seen;             /**< a job of it has come; else nothing is known of its jobs */

    /* Of the last job, unless said otherwise. */
    struct ow_resources need; /**< of each task */
    double estimate_s;        /**< mean estimate of a task's duration, as seen lately */
    double image_gb;          /**< the largest image seen */
    uint32_t largest;         /**< tasks of the largest gang or service seen; 1 if only arrays */
    bool gang;
    bool spot;
    bool service;
    enum ow_rank rank;
    uint64_t types; /**< a bit for each allowed type */

    /* Demand. */
    double peak;               /**< tasks that ran or waited at once, decaying */
    double peak_at;            /**< when the peak was last updated */
    double last_arrival_at;    /**< when its newest job was accepted */
    double arrival_interval_s; /**< mean time between two jobs, as seen lately */
};

/** Whether the jobs of the class allow machines of the type, as far as is known. */
static inline bool ow_class_allows_type(const struct ow_class *class, int type_index)
{
    return ow_type_set_has(class->types, type_index);
}
/** What is known of the class; valid until the next call. The list grows as class names come. */
struct ow_class *ow_class_of(struct ow_core *core, int class_index);
/** Takes in what a newly accepted job shows of its class. */
void ow_class_observe_job(struct ow_core *core, const struct ow_job_spec *spec, double accepted_at);
/** Takes in how long a task of the job ran, against its owner's estimate. */
void ow_class_observe_run_time(struct ow_core *core, const struct ow_job_spec *spec, double ran_s);
/** Takes in how many tasks of the class run or wait now; returns their decaying maximum. */
double ow_class_update_peak(struct ow_core *core, int class_index, double tasks);
/** Whether no job of the class has come for so long that hardly any more is to be expected soon. Never true
 * of services: their replicas need capacity as long as they live. */
bool ow_class_is_quiet(struct ow_core *core, int class_index);
/** How long a task of the job runs, the estimate corrected by the ratio of its class. */
double ow_class_run_time_s(struct ow_core *core, const struct ow_job_spec *spec);
/** How long a task of the class may wait for its start without missing an SLO of its class. */
double ow_class_slack_s(struct ow_core *core, int class_index);
/** The shortest SLO for the start of a job of such an age that can still be met, in seconds from its
 * acceptance; INFINITY if there is none. */
double ow_class_next_start_slo_s(struct ow_core *core, int class_index, double age_s);
/** How many SLOs for starting a job of such an age can no longer be met. */
unsigned ow_class_missed_start_slos(struct ow_core *core, int class_index, double age_s);
/** Whether the settings state an SLO for the class; services always have one. */
bool ow_class_has_slo(struct ow_core *core, int class_index);

#endif
