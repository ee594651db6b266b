/* A job as its user submits it, before its names become indices, and the states of a job. */
#ifndef OW_MODEL_SUBMISSION_H
#define OW_MODEL_SUBMISSION_H

#include "model/resources.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { OW_MAX_TASKS = 100000, OW_ID_MAX = 64, OW_NAME_MAX = 64 };

/* Lower is more urgent. */
enum ow_rank { OW_RANK_CRITICAL, OW_RANK_URGENT, OW_RANK_STANDARD, OW_RANK_LOW };

/* A service is an array whose tasks end only when their job is cancelled. */
enum ow_kind { OW_KIND_ARRAY, OW_KIND_GANG, OW_KIND_SERVICE };

/* A job as its user described it. Names are still strings: they become indices inside the core. */
struct ow_submission {
    char *id;
    char *class_name;
    char *team;
    enum ow_kind kind;
    bool gang; /* kind is OW_KIND_GANG */
    enum ow_rank rank;
    uint32_t tasks;
    struct ow_resources need;
    char *image;
    double image_gb;
    char **types; /* NULL: any */
    char *zone;   /* NULL: any */
    bool one_zone, spread, spot;
    double estimate_s, checkpoint_interval_s, checkpoint_duration_s;
    double deadline_s; /* 0: none */
};

void ow_submission_free(struct ow_submission *submission);

enum ow_job_state { OW_JOB_QUEUED, OW_JOB_RUNNING, OW_JOB_DONE, OW_JOB_CANCELLED };

/* A number for a job that nobody has counted. */
enum { OW_UNCOUNTED = -1 };

#endif
