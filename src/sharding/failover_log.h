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

/** The phases of a shard's failover. */
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
    GArray *steps;          /**< struct ow_failover_step, the last ones, in order; never empty */
    char *leader;           /**< who leads or led last; NULL: unknown */
    uint64_t fencing_token; /**< ours, as last observed; 0: we did not lead */
    double first_sign_at;   /**< of the present failover: first sign that the leader is gone; 0: none */
};

/** What the phase is derived from. Everything is borrowed. */
struct ow_failover_observation {
    const char *self;
    const char *leader_name;        /**< the leader as far as known, or NULL */
    const struct ow_member *leader; /**< that controller as a member; NULL: ourselves, or unknown */
    uint64_t fencing_token;         /**< ours; 0: we do not lead */
    bool is_key_missing; /**< the key-value store has answered that the leader key does not exist */
    bool are_records_read;
    bool is_settled;   /**< we have led long enough for every live machine to send us a heartbeat */
    unsigned machines; /**< that have sent a heartbeat */
    unsigned fenced;   /**< of them, those that have seen our fencing token */
};

/** Initializes a log with one step of phase OW_FAILOVER_UNKNOWN; the first update sets its time. */
void ow_failover_log_init(struct ow_failover_log *log);
/** Frees what it holds. */
void ow_failover_log_clear(struct ow_failover_log *log);
/** Notes and logs a new phase of the shard, if there is one. */
void ow_failover_log_update(struct ow_failover_log *log, const char *shard,
                            const struct ow_failover_observation *observation, double now);
/** The present phase with its cause; owned by the log. */
const struct ow_failover_step *ow_failover_log_last(const struct ow_failover_log *log);
/** The phase as words for operators. */
const char *ow_failover_phase_name(enum ow_failover_phase phase);
/** The reason shown to users while the shard can't start anything (g_free); NULL: it can, as far as is known.
 */
char *ow_failover_log_waiting_reason(const struct ow_failover_log *log, const char *shard);

#endif
