/** @file
 * The leader's state for one machine: plain data, grouped by the modules that write it.
 *
 * machine_registry.h creates and frees machines. Only the modules named at a group write its fields; any
 * module may read them. Times are seconds of the controller's monotonic clock; 0 means "not yet" unless noted
 * otherwise.
 */
#ifndef OW_CORE_MACHINES_MACHINE_H
#define OW_CORE_MACHINES_MACHINE_H

#include "core/jobs/job.h"
#include "model/cloud.h"
#include "model/resources.h"
#include "model/submission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A container image that a machine has or is fetching. */
struct ow_image_copy {
    int image; /**< name index */
    double gb;
    double last_used_at; /**< last use by a task: the machine's cache evicts the least recently used first */
    bool present;        /**< false: it is being fetched */
    double ready_at;     /**< expected completion of the fetch */
};

/** A launch that was sent to the machine's own address and not answered: the worker may execute it at any
 * time until its incarnation ends. */
struct ow_unacknowledged_launch {
    const struct ow_job *job;
    uint32_t task;
    uint64_t number; /**< of the attempt */
};

/** Liveness and fencing state, derived from the worker's messages: heartbeat_intake.c, heartbeat_answer.c,
 * direct_commands.c and lease_expiry.c. */
struct ow_machine_liveness {
    double known_since;           /**< when this leader registered the machine */
    double first_message_at;      /**< arrival of the first message (heartbeat or answer) */
    double last_message_at;       /**< arrival of the newest message (heartbeat or answer) */
    double last_heartbeat_at;     /**< arrival of the newest heartbeat; answers to commands renew no lease */
    double unanswered_since;      /**< when the first unanswered command was sent; 0: it answers */
    uint64_t incarnation;         /**< of the newest message */
    uint64_t sequence;            /**< of the newest message */
    uint64_t expired_incarnation; /**< all incarnations up to and including this one are proven over */
    bool is_fenced;   /**< has seen this leader's fencing token in this incarnation, so it rejects older
                         leaders' commands */
    double fenced_at; /**< when is_fenced was set */
    uint32_t heartbeat_generation; /**< the leader's counter at the newest heartbeat: reconciliation.c */
};

/** Attempts on the machine and their use of resources: attempt_table.c, attempt_end.c, reconciliation.c and
 * machine_images.c. */
struct ow_machine_load {
    GPtrArray *attempts;                               /**< struct ow_attempt that may run there, not owned */
    struct ow_resources used;                          /**< by `attempts` */
    struct ow_resources used_by_rank[OW_RANK_LOW + 1]; /**< by `attempts` of each rank */
    struct ow_resources stopping;                      /**< the part of `used` that is being stopped */
    struct ow_resources unknown_tasks_use;             /**< by tasks in the heartbeat that no record names */
    GArray *images;                                    /**< struct ow_image_copy */
    double idle_since;                                 /**< since when there has been no attempt */
    double slowness;                                   /**< observed run time divided by the estimate */
};

/** Direct commands to the machine's own address: command_queue.c and direct_commands.c. */
struct ow_machine_direct {
    bool is_in_flight;               /**< a call is in flight */
    bool is_queued;                  /**< the machine is in the command queue */
    double not_before;               /**< no call before this time */
    GArray *launches;                /**< struct ow_unacknowledged_launch of the call in flight */
    GArray *unacknowledged_launches; /**< struct ow_unacknowledged_launch of earlier, unanswered calls */
};

/** Fault history: machine_faults.c, and attempt_end.c for successful tasks. */
struct ow_machine_faults {
    unsigned errors; /**< failures of different jobs in a row since the last successful task */
    const struct ow_job *failed_job; /**< the last job that failed there, not owned */
    double probation_until;    /**< a job failed there; whether the job or the machine is at fault is open */
    unsigned quarantine_count; /**< number of quarantines so far */
    double quarantine_until;   /**< the machine is at fault: nothing is placed on it before this time */
};

/** Scratch state of the scheduling cycle: schedule.c, gpu_reserve.c, gang_start.c, array_preemption.c and
 * replica_move.c. */
struct ow_machine_cycle {
    bool are_gpus_reserved;   /**< its GPUs, and the CPUs that they need, are reserved for GPU jobs */
    struct ow_resources held; /**< reserved: not available to later jobs in the queue */
    struct ow_resources held_for_gangs; /**< reserved, but available to a gang that can start at once */
};

/** One machine, from registration until its deletion is proven. */
struct ow_machine {
    /* Identity: machine_registry.c. */
    char *name;
    char *addr; /**< ADDRESS:PORT at which the worker accepts commands; NULL until known */
    int type;   /**< name index; OW_NO_NAME: not known yet */
    int zone;   /**< name index; OW_NO_NAME: not known yet */
    bool spot;  /**< the cloud may reclaim it at short notice */

    /* Instance: fleet.c, and heartbeat_intake.c once the machine sends messages. */
    enum ow_listed_state listed;
    double provisioned_at;
    double reclaim_at;   /**< when the cloud reclaims it; 0: no reclaim notice: reclaim_notice.c */
    bool is_terminating; /**< its deletion is queued or may still take effect: nothing new is placed there */
    double terminate_not_before; /**< no further deletion is queued before this time */

    struct ow_machine_liveness liveness;
    struct ow_machine_load load;
    struct ow_machine_direct direct;
    struct ow_machine_faults faults;
    struct ow_machine_cycle cycle;
    unsigned gang_holds; /**< waiting gangs that hold room on it, across cycles: reservation.c */
};

#endif
