/** @file
 * A job as its user submits it, before its names become indices, and the states of a job. Plain data.
 */
#ifndef OW_MODEL_SUBMISSION_H
#define OW_MODEL_SUBMISSION_H

#include "model/resources.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Bounds of a submission: tasks of a job; bytes of a job's id and of any other name, without the final 0. */
enum { OW_MAX_TASKS = 100000, OW_ID_MAX = 64, OW_NAME_MAX = 64 };

/** How urgent a job is; a lower value is more urgent and may preempt a higher one. */
enum ow_rank { OW_RANK_CRITICAL, OW_RANK_URGENT, OW_RANK_STANDARD, OW_RANK_LOW };

/** How the tasks of a job depend on each other. */
enum ow_job_kind {
    OW_KIND_ARRAY,   /**< each task runs and ends on its own */
    OW_KIND_GANG,    /**< all tasks run at the same time, or none does */
    OW_KIND_SERVICE, /**< tasks are replicas that end only when the job is cancelled */
};

/** A job as its user describes it. It owns its strings; none is NULL unless its comment allows it. */
struct ow_submission {
    char *id;         /**< chosen by the user, unique for ever: a second submission of it is a retry */
    char *class_name; /**< jobs of one class resemble each other in needs and duration */
    char *team;       /**< whose quota it counts against */
    enum ow_job_kind kind;
    enum ow_rank rank;
    uint32_t tasks;           /**< 1 to OW_MAX_TASKS */
    struct ow_resources need; /**< of each task */
    char *image;              /**< what a machine fetches before a task starts */
    double image_gb;
    char **types;                 /**< names of allowed machine types, ended by NULL; NULL: any */
    char *zone;                   /**< the only allowed zone; NULL: any */
    bool one_zone;                /**< all tasks in the same zone */
    bool spread;                  /**< at most half of the tasks, rounded up, in one zone */
    bool spot;                    /**< may run on machines that the cloud may reclaim */
    double estimate_s;            /**< expected duration of a task; 0 for a service */
    double checkpoint_interval_s; /**< between checkpoints that a task saves by itself; 0: it saves none */
    double checkpoint_duration_s; /**< duration of saving one when a task is told to stop */
    double deadline_s;            /**< time from the submission by which the job should be done; 0: none */
};

/** Frees a submission with its texts. @param submission may be NULL */
void ow_submission_free(struct ow_submission *submission);

/** Lets GLib free it: g_autoptr(ow_submission), or g_auto(ow_submission). */
typedef struct ow_submission ow_submission;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_submission, ow_submission_free)

/** Whether the tasks of the job run at the same time or not at all. */
static inline bool ow_submission_is_gang(const struct ow_submission *submission)
{
    return submission->kind == OW_KIND_GANG;
}

/** The state of a job; done and cancelled are final. The values are stored in records and never change. */
enum ow_job_state { OW_JOB_QUEUED, OW_JOB_RUNNING, OW_JOB_DONE, OW_JOB_CANCELLED };

/** A count of a job's tasks that this controller does not know. */
enum { OW_TASK_COUNT_UNKNOWN = -1 };

#endif
