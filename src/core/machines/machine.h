/** @file
 * A provisioned machine as the leader knows it: plain data, in a group for each owner.
 *
 * machine_registry.h creates and frees machines; the modules that are named at a group keep it up to date,
 * and others read it. Times are seconds of the controller's monotonic clock, and 0 means "not yet" unless
 * said otherwise.
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
    double last_used_at; /**< when a task last needed it: the machine's cache drops the oldest first */
    bool present;        /**< else it is being fetched */
    double ready_at;     /**< when the fetch is expected to be complete */
};

/** A launch sent to the machine's own address to which no answer has come: it may be carried out at any time
 * until the worker's incarnation ends. */
struct ow_unacknowledged_launch {
    const struct ow_job *job;
    uint32_t task;
    uint64_t number; /**< of the attempt */
};

/** What the worker's messages say of it: heartbeat_intake.c, heartbeat_answer.c, direct_commands.c and
 * lease_expiry.c. */
struct ow_machine_liveness {
    double known_since;       /**< when this leader first learnt of the machine */
    double first_message_at;  /**< arrival of the first message of any kind */
    double last_message_at;   /**< arrival of its newest message of any kind */
    double last_heartbeat_at; /**< arrival of its newest heartbeat; an answer to a command renews no lease */
    double unanswered_since;  /**< commands have found no answer since then; 0: it answers */
    uint64_t incarnation;     /**< of its newest message */
    uint64_t sequence;        /**< of its newest message */
    uint64_t expired_incarnation; /**< every incarnation up to this one is proven over */
    bool is_fenced;   /**< it has seen this leader's fencing token: it accepts no older leader's commands */
    double fenced_at; /**< when that was learnt */
    uint32_t
        heartbeat_generation; /**< the leader's count of heartbeats at its newest one: reconciliation.c */
};

/** What runs there and what that uses: attempt_table.c, attempt_end.c, reconciliation.c and
 * machine_images.c. */
struct ow_machine_load {
    GPtrArray *attempts;                               /**< struct ow_attempt that may exist, not owned */
    struct ow_resources used;                          /**< by these attempts */
    struct ow_resources used_by_rank[OW_RANK_LOW + 1]; /**< the same by the rank of their jobs */
    struct ow_resources stopping;                      /**< the part of `used` that is being stopped */
    struct ow_resources unknown_tasks_use;             /**< by listed tasks that are in no record */
    GArray *images;                                    /**< struct ow_image_copy */
    double idle_since;                                 /**< no attempt since then */
    double slowness; /**< observed run time divided by the estimate; 1: as expected */
};

/** Direct commands to the machine's own address: command_queue.c and direct_commands.c. */
struct ow_machine_direct {
    bool is_in_flight; /**< a call is under way */
    bool is_queued;    /**< a call is due: the machine is in the command queue */
    double not_before; /**< no call before this time */
    GArray *launches;  /**< struct ow_unacknowledged_launch of the call under way */
    GArray
        *unacknowledged_launches; /**< struct ow_unacknowledged_launch of earlier calls without an answer */
};

/** Fault history: machine_faults.c, and attempt_end.c for results. */
struct ow_machine_faults {
    unsigned errors;                 /**< jobs that failed there since the last task that succeeded */
    const struct ow_job *failed_job; /**< the last of them, not owned */
    double probation_until; /**< a job failed there, and it is not known yet which of the two is at fault */
    unsigned quarantine_count; /**< how often it has been in quarantine */
    double quarantine_until;   /**< it is at fault: nothing is placed there before this time */
};

/** Scratch of the scheduling cycle: schedule.c, gpu_reserve.c, gang_start.c, array_preemption.c and
 * replica_move.c. */
struct ow_machine_cycle {
    bool are_gpus_reserved;             /**< waiting work needs its GPUs: other work stays off */
    struct ow_resources held;           /**< kept from every job behind in the queue */
    struct ow_resources held_for_gangs; /**< the same, but a gang that can start at once may take it */
};

/** A machine. */
struct ow_machine {
    /* Identity: machine_registry.c. */
    char *name;
    char *addr; /**< ADDRESS:PORT where the worker takes commands; NULL until known */
    int type;   /**< name index; OW_NO_NAME: not known yet */
    int zone;   /**< name index; OW_NO_NAME: not known yet */
    bool spot;  /**< the cloud may reclaim it at short notice */

    /* The instance: fleet.c, and heartbeat_intake.c for machines that send messages. */
    enum ow_listed_state listed;
    double provisioned_at;
    double reclaim_at;   /**< when the cloud reclaims it; 0: no notice: reclaim_notice.c */
    bool is_terminating; /**< its deletion is queued or may be carried out: nothing new is placed there */
    double terminate_not_before; /**< no (further) deletion is queued before this time */

    struct ow_machine_liveness liveness;
    struct ow_machine_load load;
    struct ow_machine_direct direct;
    struct ow_machine_faults faults;
    struct ow_machine_cycle cycle;
    unsigned gang_holds; /**< waiting gangs with a hold on it; outlives the cycle: reservation.c */
};

#endif
