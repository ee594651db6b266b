/* The state of a leader, which exists only while this controller holds the leader's key. Only the modules of
 * the leader include this; everybody else uses leader.h. Each field is changed by the module named at it. */
#ifndef OW_CORE_LEADER_LEADER_STATE_H
#define OW_CORE_LEADER_LEADER_STATE_H

#include "core/core_state.h"
#include "model/resources.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_leader_broadcast;
struct ow_machine_type_polling;
struct ow_quota;
struct ow_recorder;

/* Reading the records of earlier leaders: failover.c. */
struct ow_failover_progress {
    bool is_reading;     /* a read is in flight */
    double next_at;      /* no read before this time */
    char *last_key_read; /* NULL: none yet */
    GArray *loaded;      /* loaded_records.c: records read so far; NULL while there are none */
};

/* The format in which records may be written: record_format.c. */
struct ow_format_state {
    unsigned current; /* 0: not known yet */
    bool busy;        /* a read or write of the stored format is under way */
    double next_at;   /* no read or write before this time */
};

/* When the scheduling cycle is due, and what it computes once for all jobs: schedule.c unless said otherwise.
 */
struct ow_cycle_scratch {
    bool due;             /* something has changed since the last cycle */
    double last_at;       /* when the last one began: cycle_timer.c, as `due` */
    GArray *image_demand; /* image_demand.c; by image */
    GArray *shortlists;   /* shortlist.c; by class */
    GArray *allowances;   /* reason.c */
    bool turn_taken;      /* gang_turn.c: a gang keeps its holds to start in time */
    int gpu_rank;         /* the most urgent rank among open jobs that need GPUs */
    double gpu_cpus;      /* CPUs that a GPU needs to be of use, by the jobs that are open */
};

/* The list of machines that is read from the cloud: fleet.c. */
struct ow_cloud_polling {
    struct ow_rate_limiter limiter; /* of all calls to the cloud */
    double list_at;                 /* when it is due next */
    bool list_busy;                 /* a call is under way */
    bool listed_once;               /* the list has been read completely */
    char *list_after;               /* the last machine of the list's pages read; NULL: at its beginning */
};

/* Renting: scale_out.c, and instance_offers.c for refusals. */
struct ow_scale_out_state {
    double next_at; /* when it is considered next */
    unsigned count; /* of rent requests, which gives names to the machines */
    unsigned calls; /* under way */
    GArray *refusals;
};

/* Returning machines: fleet.c. */
struct ow_terminations {
    GPtrArray *queued; /* names of machines whose deletion is to be sent */
    GHashTable *names; /* names of machines deleted, which lagging lists still show */
};

/* Notices of spot machines, and how long there were such machines, both fading: spot_risk.c. */
struct ow_spot_risk {
    double reclaim_notices;
    double machine_s;
    double updated_at;
};

/** How far a new leader is with taking over. Only failover.c moves it on. */
enum ow_leader_phase {
    OW_LEADER_REFRESH, /**< the job table is brought up to date */
    OW_LEADER_LOADING, /**< the progress records are read */
    OW_LEADER_READY,   /**< everything is known: it decides */
};

struct ow_leader {
    struct ow_core *core;
    uint64_t fencing_token;     /* of its lease */
    enum ow_leader_phase phase; /* failover.c */
    double ready_at;            /* when it became ready */
    struct ow_failover_progress failover;

    /* Machines: machine_registry.c. */
    GHashTable *machines_by_name;  /* name -> struct ow_machine */
    GPtrArray *machines;           /* struct ow_machine, owned */
    uint32_t heartbeat_generation; /* reconciliation.c: reports taken in so far */
    GPtrArray *direct_due;         /* struct ow_machine, not owned: worker_commands.c */
    unsigned probes; /* direct commands under way to machines that may not answer: worker_commands.c */

    GPtrArray *executions; /* struct ow_execution, owned: execution.c */
    struct ow_quota *quota;

    struct ow_format_state format;
    struct ow_recorder *recorder;
    GPtrArray *record_values; /* struct ow_record_value, owned: record_values.c */

    struct ow_cycle_scratch cycle;
    struct ow_cloud_polling cloud;
    struct ow_scale_out_state scale_out;
    struct ow_terminations terminations;
    struct ow_spot_risk spot_risk;
    struct ow_machine_type_polling *machine_type_polling;
    struct ow_leader_broadcast *broadcast;
    double health_check_at; /* when leader.c checks the health of machines next */
};

/** Something that a scheduling cycle depends on has changed: one is due. */
void ow_leader_request_cycle(struct ow_leader *leader);

#endif
