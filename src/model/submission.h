/** @file
 * A job as submitted by its user, before its names are interned, and the states of a job. Plain data.
 */
#ifndef OW_MODEL_SUBMISSION_H
#define OW_MODEL_SUBMISSION_H

#include "model/resources.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Limits of a submission: tasks of a job; bytes of a job's id and of any other name, without the NUL. */
enum { OW_MAX_TASKS = 100000, OW_ID_MAX = 64, OW_NAME_MAX = 64 };

/** Priority of a job. A lower value is more urgent and may preempt a higher one. */
enum ow_rank { OW_RANK_CRITICAL, OW_RANK_URGENT, OW_RANK_STANDARD, OW_RANK_LOW };

/** How the tasks of a job depend on each other. */
enum ow_job_kind {
    OW_KIND_ARRAY,   /**< each task runs and ends independently */
    OW_KIND_GANG,    /**< all tasks run at the same time, or none does */
    OW_KIND_SERVICE, /**< tasks are replicas that end only when the job is cancelled */
};

/** A job as described by its user. It owns its strings; none is NULL unless noted. */
struct ow_submission {
    char *id;         /**< chosen by the user and never reused: another submission with it is a retry */
    char *class_name; /**< jobs of a class have similar resource needs and durations */
    char *team;       /**< team whose quota the job counts against */
    enum ow_job_kind kind;
    enum ow_rank rank;
    uint32_t tasks;           /**< 1 to OW_MAX_TASKS */
    struct ow_resources need; /**< of each task */
    char *image;              /**< image that a machine fetches before a task starts */
    double image_gb;
    char **types;                 /**< names of allowed machine types, NULL-terminated; NULL: any */
    char *zone;                   /**< the only allowed zone; NULL: any */
    bool one_zone;                /**< all tasks in the same zone */
    bool spread;                  /**< at most half of the tasks, rounded up, in one zone */
    bool spot;                    /**< may run on spot instances, which the cloud may reclaim */
    double estimate_s;            /**< expected duration of a task; 0 for a service */
    double checkpoint_interval_s; /**< time between periodic checkpoints of a task; 0: none */
    double checkpoint_duration_s; /**< time to save a checkpoint when a task is stopped */
    double deadline_s;            /**< time from submission until the job should be done; 0: none */
};

/** Frees a submission and its members. @param submission may be NULL */
void ow_submission_free(struct ow_submission *submission);

/** Enables g_autoptr(ow_submission). */
typedef struct ow_submission ow_submission;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_submission, ow_submission_free)

/** Whether the job is a gang, whose tasks run at the same time or not at all. */
static inline bool ow_submission_is_gang(const struct ow_submission *submission)
{
    return submission->kind == OW_KIND_GANG;
}

/** The state of a job; done and cancelled are final. The values are stored in records and never change. */
enum ow_job_state { OW_JOB_QUEUED, OW_JOB_RUNNING, OW_JOB_DONE, OW_JOB_CANCELLED };

/** A number of a job's tasks that is unknown to this controller. */
enum { OW_TASK_COUNT_UNKNOWN = -1 };

#endif
