/* What workers and controllers say to each other: heartbeats and commands. */
#ifndef OW_MODEL_WORKER_H
#define OW_MODEL_WORKER_H

#include "model/submission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

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

#endif
