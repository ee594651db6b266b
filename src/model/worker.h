/** @file
 * Messages between agents and controllers: heartbeats and commands. Plain data.
 */
#ifndef OW_MODEL_WORKER_H
#define OW_MODEL_WORKER_H

#include "model/submission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The phase of an attempt on its machine. */
enum ow_task_phase {
    OW_PHASE_FETCHING, /**< its image is being fetched */
    OW_PHASE_WAITING,  /**< a task of a gang waits for the others */
    OW_PHASE_RUNNING,
    OW_PHASE_CHECKPOINTING, /**< it has been stopped and saves a checkpoint */
    OW_PHASE_EXITED,        /**< it has ended; listed until a controller clears it */
};

/** Why an attempt has ended. */
enum ow_exit_cause {
    OW_CAUSE_NONE,       /**< it has not ended */
    OW_CAUSE_DONE,       /**< the task is complete */
    OW_CAUSE_STOPPED,    /**< a command stopped it */
    OW_CAUSE_PEERS,      /**< another task of its gang is gone */
    OW_CAUSE_INCOMPLETE, /**< its gang was not complete in time */
    OW_CAUSE_ERROR,      /**< the task failed, or the cause is unknown to this version */
    OW_CAUSE_FULL,       /**< start refused: the machine lacks free resources */
    OW_CAUSE_BUSY,       /**< start refused: another attempt of the task exists there */
    OW_CAUSE_UNKNOWN,    /**< start refused: no such job or task */
};

/** Returns the name of a cause for log lines; a static string. */
const char *ow_exit_cause_name(enum ow_exit_cause cause);

/** The status of one attempt in a heartbeat. */
struct ow_task_status {
    char job[OW_ID_MAX + 1];
    uint32_t task; /**< task number in the job, from 0 */
    uint64_t attempt;
    enum ow_task_phase phase;
    enum ow_exit_cause cause; /**< OW_CAUSE_NONE unless the phase is OW_PHASE_EXITED */
    bool saved;               /**< its checkpoint was saved completely after it was stopped */
};

/** A heartbeat of an agent. It owns its strings and its list; none is NULL. */
struct ow_heartbeat {
    char *machine;
    char *addr; /**< host:port where the agent accepts commands */
    char *type;
    char *zone;
    bool spot;
    uint64_t incarnation;    /**< of the agent; increases whenever its lease expires */
    uint64_t sequence;       /**< increases with every message of an incarnation; the highest is the newest */
    uint64_t fencing_token;  /**< the highest that the agent has received; 0: none */
    double reclaim_notice_s; /**< time until the cloud reclaims the machine; negative: no notice */
    GArray *tasks;           /**< struct ow_task_status: every attempt on the machine */
};

/** Frees a heartbeat and its members. @param heartbeat may be NULL */
void ow_heartbeat_free(struct ow_heartbeat *heartbeat);

/** Enables g_autoptr(ow_heartbeat). */
typedef struct ow_heartbeat ow_heartbeat;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_heartbeat, ow_heartbeat_free)

/** The action of a command. */
enum ow_worker_command_kind {
    OW_WORKER_LAUNCH, /**< start an attempt */
    OW_WORKER_STOP,   /**< stop an attempt, with time to save a checkpoint */
    OW_WORKER_CLEAR,  /**< forget an attempt that has ended */
};

/** A command for an agent about one attempt of a task. */
struct ow_worker_command {
    enum ow_worker_command_kind kind;
    char job[OW_ID_MAX + 1];
    uint32_t task; /**< task number in the job, from 0 */
    uint64_t attempt;
    double grace_s; /**< OW_WORKER_STOP: time to save a checkpoint; if too short, the task exits at once */
};

#endif
