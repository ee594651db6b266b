/** @file
 * The state of a leader, which exists only while this controller holds the leader key. Only the module named
 * in a field's comment changes it; an opaque struct belongs to the module of the same name.
 */
#ifndef OW_CORE_LEADER_LEADER_STATE_H
#define OW_CORE_LEADER_LEADER_STATE_H

#include "core/core_state.h"
#include "model/resources.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_command_queue;
struct ow_failover;
struct ow_fleet;
struct ow_leader_broadcast;
struct ow_machine_type_polling;
struct ow_provisioning;
struct ow_quota;
struct ow_record_format;
struct ow_recorder;
struct ow_scale_out;
struct ow_spot_risk;

/** The timing of the scheduling cycle, and what a cycle computes once for all jobs. schedule.c changes it
 * unless a comment names another module. */
struct ow_cycle_state {
    bool due;             /**< a cycle has been requested since the last one: leader_state.c, cycle_timer.c */
    double last_at;       /**< when the last cycle began: cycle_timer.c */
    GArray *image_demand; /**< image_demand.c; by image */
    GArray *shortlists;   /**< shortlist.c; by class */
    GArray *machine_counts;      /**< reason.c */
    bool gang_has_hold_priority; /**< gang_hold_priority.c: a gang keeps its holds to start in time */
    int gpu_rank;                /**< gpu_reserve.c: the most urgent rank among open jobs that need GPUs */
    double gpu_cpus;             /**< gpu_reserve.c: CPUs that a GPU needs to be of use, by the open jobs */
};

/** The pause of decisions while the process is overloaded: decision_pacing.c. */
struct ow_decision_pacing {
    bool has_decided;    /**< the last step, or this one, makes decisions */
    double paused_until; /**< no decisions before this time */
};

/** The phases of a new leader's failover. Only failover.c changes the phase. */
enum ow_leader_phase {
    OW_LEADER_REFRESHING, /**< the copy of the job table is being refreshed */
    OW_LEADER_LOADING,    /**< the progress records are being read */
    OW_LEADER_READY,      /**< all records are known: the leader makes decisions */
};

/** The leader of a shard. */
struct ow_leader {
    struct ow_core *core;
    uint64_t fencing_token;     /**< of its term */
    enum ow_leader_phase phase; /**< failover.c */
    double ready_at;            /**< when it became ready */
    struct ow_failover *failover;

    /* Machines. */
    GHashTable *machines_by_name;  /**< name -> struct ow_machine, not owned: machine_registry.c */
    GPtrArray *machines;           /**< struct ow_machine, owned: machine_registry.c */
    uint32_t heartbeat_generation; /**< count of heartbeats applied: reconciliation.c */
    struct ow_command_queue *command_queue;
    unsigned probes; /**< direct commands in flight to unresponsive machines: worker_commands.c */
    struct ow_rate_limiter cloud_limiter; /**< shared by all modules that call the cloud */
    struct ow_fleet *fleet;
    struct ow_scale_out *scale_out;
    struct ow_provisioning *provisioning;
    GArray *offer_refusals; /**< struct ow_offer_refusal: instance_offers.c */
    struct ow_spot_risk *spot_risk;
    struct ow_machine_type_polling *machine_type_polling;
    double health_check_at; /**< when the health of machines is checked next: leader.c */

    /* Jobs. */
    GPtrArray *executions; /**< struct ow_execution, owned: execution_table.c */
    struct ow_quota *quota;
    struct ow_cycle_state cycle;
    struct ow_decision_pacing decision_pacing;

    /* Records. */
    struct ow_record_format *record_format;
    struct ow_recorder *recorder;
    GPtrArray *record_values; /**< struct ow_record_value, owned: record_values.c */

    /* Other controllers. */
    struct ow_leader_broadcast *broadcast;
};

/** Makes a scheduling cycle due; called when anything has changed that a cycle depends on. */
void ow_leader_request_cycle(struct ow_leader *leader);

#endif
