/** @file
 * Job classes: what has been observed of the jobs of each class, and how long their SLOs let them wait.
 *
 * Input: each accepted job, each run that ended, and the SLOs of the settings. Result: expected run times,
 * slack and demand. The module owns the observations, which belong to the core and so outlive a term as
 * leader. Invariant: observations only inform decisions; a class without observations has neutral values.
 */
#ifndef OW_CORE_SCHEDULING_CLASSES_H
#define OW_CORE_SCHEDULING_CLASSES_H

#include "core/jobs/job.h"
#include "model/resources.h"
#include "model/submission.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_core;

/** Observations of a class. Times are by the core's clock, in seconds. "Mean" is an exponentially weighted
 * moving average. */
struct ow_class {
    double run_time_ratio; /**< mean ratio of run time to the owners' estimate; 1: as estimated */
    bool seen;             /**< a job of the class has been observed; else the fields below are unset */

    /* Of the newest job observed, unless stated otherwise. */
    struct ow_resources need; /**< of each task */
    double estimate_s;        /**< mean estimate of a task's duration */
    double image_gb;          /**< the largest image observed */
    uint32_t largest;         /**< tasks of the largest gang or service observed; 1 if only arrays */
    bool gang;
    bool spot;
    bool service;
    enum ow_rank rank;
    struct ow_type_set *types; /**< the allowed types; a reference */

    /* Demand. */
    double peak;               /**< most tasks that ran or waited at once, decaying */
    double peak_at;            /**< when the peak was last updated */
    double last_arrival_at;    /**< when its newest job was accepted */
    double arrival_interval_s; /**< mean time between two jobs */
};

/** Whether the newest observed job of the class allows machines of the type; false if there is none. */
static inline bool ow_class_allows_type(const struct ow_class *class, int type_index)
{
    return ow_type_set_has(class->types, type_index);
}
/** Creates an empty array of struct ow_class; the caller frees it. */
GArray *ow_classes_new(void);
/** The observations of the class, added with neutral values if there are none. Valid until the next call,
 * which may grow the array. */
struct ow_class *ow_class_of(struct ow_core *core, int class_index);
/** Updates the observations of the job's class. Called when a leader creates the job's execution: on
 * acceptance, and again at each failover. `accepted_at` is by the core's clock, in seconds. */
void ow_class_observe_job(struct ow_core *core, const struct ow_job_spec *spec, double accepted_at);
/** Updates the run-time ratio of the job's class with a task that ran for `ran_s`. Does nothing for a job
 * without an estimate. */
void ow_class_observe_run_time(struct ow_core *core, const struct ow_job_spec *spec, double ran_s);
/** Updates the peak of the class with the number of tasks that run or wait now; returns the new peak. */
double ow_class_update_peak(struct ow_core *core, int class_index, double tasks);
/** Whether no job of the class has arrived for so long that none is expected soon.
 * Never true of services, whose replicas need capacity as long as they live, nor while the store is
 * unavailable. */
bool ow_class_is_quiet(struct ow_core *core, int class_index);
/** Expected run time of a task of the job in seconds: the estimate, corrected by the ratio of its class. */
double ow_class_run_time_s(struct ow_core *core, const struct ow_job_spec *spec);
/** How long a task of the class may wait for its start without missing an SLO of its class, in seconds. 0
 * for services. */
double ow_class_slack_s(struct ow_core *core, int class_index);
/** The shortest start SLO of the class that a job of age `age_s` can still meet, in seconds from its
 * acceptance; INFINITY if there is none. */
double ow_class_next_start_slo_s(struct ow_core *core, int class_index, double age_s);
/** How many start SLOs of the class a job of age `age_s` that has not started has missed. */
unsigned ow_class_missed_start_slos(struct ow_core *core, int class_index, double age_s);
/** Whether the settings have an SLO for the class; always true of services. */
bool ow_class_has_slo(struct ow_core *core, int class_index);

#endif
