/* A provisioned machine as the leader knows it. Machines are created and freed by machine_registry.c alone;
 * each group of fields below names the module that keeps it up to date. Times are seconds of the controller's
 * steady clock, 0 meaning "not yet" unless said otherwise. */
#ifndef OW_CORE_MACHINES_MACHINE_H
#define OW_CORE_MACHINES_MACHINE_H

#include "core/jobs/job.h"
#include "model/cloud.h"
#include "model/resources.h"
#include "model/submission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A container image that a machine has or is fetching. */
struct ow_image_copy {
    int image; /* name index */
    double gb;
    double used_at;  /* when a task last needed it: the machine's cache drops the oldest first */
    bool present;    /* else it is being fetched */
    double ready_at; /* when the fetch is expected to be complete */
};

/* A launch sent to the machine's own address to which no answer has come: it may be carried out at any time
   until the worker's incarnation ends. */
struct ow_unacknowledged_launch {
    const struct ow_job *job;
    uint32_t task;
    uint64_t number;
};

struct ow_machine {
    /* Identity and rent: machine_registry.c and fleet.c. */
    char *name, *addr; /* owned; addr is NULL until known */
    int type, zone;    /* name indices; OW_NO_NAME: not known yet */
    bool spot;         /* the cloud may take it back at short notice */
    enum ow_listed_state listed;
    double provisioned_at;
    bool terminating;    /* it is being returned to the cloud */
    double terminate_at; /* the next try to delete it */

    /* Liveness: reconciliation.c, worker_commands.c and machine_health.c. */
    double met_at;            /* when this leader first learnt of it */
    double first_message_at;  /* arrival of the first message of any kind; 0: none has come */
    double last_message_at;   /* arrival of its newest message of any kind; 0: none has come */
    double last_heartbeat_at; /* arrival of its newest heartbeat; an answer to a command renews no lease */
    double unanswered_since;  /* commands find no answer since then; 0: it answers */
    uint64_t incarnation, sequence; /* of its newest message */
    uint64_t expired_incarnation;   /* every incarnation up to this one is proven over */
    bool fenced; /* it has seen this leader's fencing token and accepts no older leader's commands */
    double fenced_at;
    double reclaim_at;             /* when the cloud takes it back, after a notice; 0: no notice */
    uint32_t heartbeat_generation; /* the leader's count of heartbeats at its newest one */

    /* Load: attempt.c, reconciliation.c and machine_registry.c. */
    GPtrArray *attempts;                          /* struct ow_attempt, not owned */
    struct ow_resources used;                     /* by attempts that may exist */
    struct ow_resources used_by[OW_RANK_LOW + 1]; /* the same by rank */
    struct ow_resources stopping;                 /* the part of `used` that is being stopped */
    struct ow_resources unknown_tasks_use;        /* by reported tasks that are in no record */
    GArray *images;                               /* struct ow_image_copy */
    double idle_since;

    /* Direct commands: worker_commands.c. */
    bool direct_busy;                /* a call is under way */
    bool direct_wanted;              /* a call is due: it is on the leader's list */
    double direct_at;                /* no call before this time */
    GArray *direct_launches;         /* struct ow_unacknowledged_launch of the call under way */
    GArray *unacknowledged_launches; /* struct ow_unacknowledged_launch of earlier calls without an answer */

    /* Fault history: machine_health.c, and attempt.c for results. */
    unsigned errors;                 /* jobs that failed on it since the last task that succeeded */
    const struct ow_job *failed_job; /* the last of them, not owned */
    unsigned quarantines;
    double quarantine_until;
    double probation_until; /* it has failed a job, and it is not known yet which of the two is at fault */
    double slowness;        /* observed run time divided by the estimate; 1: as expected */

    /* Scratch of the scheduling cycle: schedule.c, gpu_reserve.c, gang_start.c, array_preemption.c,
       replica_move.c; `holders`: reservation.c. */
    bool gpus_kept;                     /* waiting work needs its GPUs: other work stays off */
    struct ow_resources held;           /* kept from every job behind in the queue */
    struct ow_resources held_for_gangs; /* the same, but a gang that can start at once may take it */
    unsigned holders;                   /* gangs with a hold on it; outlives the cycle */
};

#endif
