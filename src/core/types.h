/* What the outside world and the core say to each other, in the field's own terms. Plain data. */
#ifndef OW_CORE_TYPES_H
#define OW_CORE_TYPES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { OW_MAX_TASKS = 100000, OW_MAX_TYPES = 64, OW_ID_MAX = 64, OW_NAME_MAX = 64 };

/* Lower is more urgent. */
enum ow_rank { OW_RANK_CRITICAL, OW_RANK_URGENT, OW_RANK_STANDARD, OW_RANK_LOW };

struct ow_amounts {
    double cpus, gpus, memory_gb;
};

/* Adds `times` as much as `need`; a negative number takes away. */
void ow_amounts_add(struct ow_amounts *sum, const struct ow_amounts *need, double times);

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
    struct ow_amounts need;
    char *image;
    double image_gb;
    char **types; /* NULL: any */
    char *zone;   /* NULL: any */
    bool one_zone, spread, spot;
    double estimate_s, checkpoint_interval_s, checkpoint_duration_s;
    double deadline_s; /* 0: none */
};

void ow_submission_free(struct ow_submission *submission);

/* What a worker says of one task. */
enum ow_phase {
    OW_PHASE_FETCHING,
    OW_PHASE_WAITING,
    OW_PHASE_RUNNING,
    OW_PHASE_CHECKPOINTING,
    OW_PHASE_EXITED
};

enum ow_cause {
    OW_CAUSE_NONE,
    OW_CAUSE_DONE,
    OW_CAUSE_STOPPED,
    OW_CAUSE_PEERS,
    OW_CAUSE_INCOMPLETE,
    OW_CAUSE_ERROR,
    OW_CAUSE_FULL,
    OW_CAUSE_BUSY,
    OW_CAUSE_UNKNOWN,
};

struct ow_task_status {
    char job[OW_ID_MAX + 1];
    uint32_t task;
    uint64_t attempt;
    enum ow_phase phase;
    enum ow_cause cause;
    bool saved;
};

struct ow_heartbeat {
    char *machine, *addr, *type, *zone;
    bool spot;
    uint64_t incarnation, seq, fencing_token;
    double reclaim_notice_s; /* negative: none */
    GArray *tasks;           /* struct ow_task_status */
};

void ow_heartbeat_free(struct ow_heartbeat *heartbeat);

enum ow_worker_command_kind { OW_WORKER_LAUNCH, OW_WORKER_STOP, OW_WORKER_CLEAR };

struct ow_worker_command {
    enum ow_worker_command_kind kind;
    char job[OW_ID_MAX + 1];
    uint32_t task;
    uint64_t attempt;
    double grace_s;
};

struct ow_machine_type {
    char *name;
    struct ow_amounts size;
    double cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
    char **zones;
};

void ow_machine_type_clear(void *type);

enum ow_listed { OW_LISTED_NOT, OW_LISTED_BOOTING, OW_LISTED_RUNNING, OW_LISTED_FAILED };

struct ow_listed_machine {
    char *name, *addr, *type, *zone;
    bool spot;
    enum ow_listed state;
    double age_s;
};

void ow_listed_machine_clear(void *machine);

enum ow_job_state { OW_JOB_QUEUED, OW_JOB_RUNNING, OW_JOB_DONE, OW_JOB_CANCELLED };

/* A number for a job that nobody has counted. */
enum { OW_UNCOUNTED = -1 };

#endif
