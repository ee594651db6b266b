/**
 * @file
 * The steps of a shard's failovers from one leader to the next, as this controller sees them, each with its
 * time and cause. No decision depends on it: the log is for operators, users and measurements.
 */
#ifndef OW_SHARDING_FAILOVER_LOG_H
#define OW_SHARDING_FAILOVER_LOG_H

#include "sharding/member.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The phases of a shard's failover, as one controller sees them. */
enum ow_failover_phase {
    OW_FAILOVER_UNKNOWN,       /**< the leader is not known yet */
    OW_FAILOVER_LED_ELSEWHERE, /**< another controller leads */
    OW_FAILOVER_SUSPECTED,     /**< another controller leads, and is suspected to have failed */
    OW_FAILOVER_LEASE_EXPIRED, /**< the leader key does not exist */
    OW_FAILOVER_KEY_TAKEN,     /**< our transaction has committed: the earlier leader is deposed, we lead */
    OW_FAILOVER_RECORDS_READ,  /**< we lead, and have read the records */
    OW_FAILOVER_SERVING,       /**< we lead, and every machine that sends heartbeats has seen our token */
};

/** One phase that the shard went through. */
struct ow_failover_step {
    enum ow_failover_phase phase;
    double began_at; /**< seconds of the monotonic clock */
    char *cause;     /**< owned; never NULL */
};

/** The log of one shard. Changed by the functions below only. */
struct ow_failover_log {
    GArray *steps;           /**< struct ow_failover_step, the last ones, in order; never empty */
    char *leader;            /**< the current or last leader; NULL: unknown */
    uint64_t fencing_token;  /**< ours, as last observed; 0: we did not lead */
    double loss_detected_at; /**< when this failover's loss of the leader was detected; 0: no failover */
};

/** The inputs from which the phase is derived. All pointers are borrowed. */
struct ow_failover_observation {
    const char *self;
    const char *leader_name;        /**< the last known leader, or NULL */
    const struct ow_member *leader; /**< that controller's member; NULL: this controller, or unknown */
    uint64_t fencing_token;         /**< ours; 0: we do not lead */
    bool is_key_missing; /**< the key-value store has answered that the leader key does not exist */
    bool are_records_read;
    bool is_settled;   /**< this term is long enough for every live machine to have sent a heartbeat */
    unsigned machines; /**< number of machines that have sent a heartbeat */
    unsigned fenced;   /**< number of these that have seen our fencing token */
};

/** Initializes a log with one step of phase OW_FAILOVER_UNKNOWN; the first update sets its time. */
void ow_failover_log_init(struct ow_failover_log *log);
/** Frees the contents of the log, but not the struct. */
void ow_failover_log_clear(struct ow_failover_log *log);
/** Adds a step and logs it if the phase, the leader or our term has changed. */
void ow_failover_log_update(struct ow_failover_log *log, const char *shard,
                            const struct ow_failover_observation *observation, double now);
/** The current phase with its cause; owned by the log. */
const struct ow_failover_step *ow_failover_log_last(const struct ow_failover_log *log);
/** The name of the phase for operators and the log; a constant string. */
const char *ow_failover_phase_name(enum ow_failover_phase phase);
/** The reason that users see while no task of the shard can start (g_free); NULL: none is known. */
char *ow_failover_log_waiting_reason(const struct ow_failover_log *log, const char *shard);

#endif
