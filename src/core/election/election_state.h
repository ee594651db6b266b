/** @file
 * The state of the election and the changes between its stages, shared by the modules of this folder.
 * Other folders use election.h.
 */
#ifndef OW_CORE_ELECTION_ELECTION_STATE_H
#define OW_CORE_ELECTION_ELECTION_STATE_H

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_election_callbacks;

/** Pause between a failed request and the next one. */
static const double OW_ELECTION_RETRY_S = 0.4;

/** The stage of this controller between follower and leader. */
enum ow_election_stage {
    OW_ELECTION_FOLLOWING,       /**< follower: the leader key is read and watched */
    OW_ELECTION_OBTAINING_LEASE, /**< candidate: obtains a lease to attach the key to */
    OW_ELECTION_TAKING_KEY,      /**< candidate: writes the key */
    OW_ELECTION_LEADING,         /**< leader: this controller holds the key, as far as it knows */
};

/** Whether and when this controller may take the leader key. */
struct ow_candidacy {
    bool may_lead;  /**< false: it never takes the key */
    double delay_s; /**< how long it waits before it takes a missing key */
};

/** The leader key as last read or watched: leader_key.c. */
struct ow_known_key {
    bool is_known;         /**< the other fields, and the leader's name, have been read from the store */
    bool is_missing;       /**< it did not exist when last read; kept while it is read again */
    bool has_waited;       /**< the candidacy delay for the missing key has passed */
    uint64_t mod_revision; /**< of its last change; 0: the key does not exist */
    double held_since;     /**< when this controller first saw its current holder */
};

/** The watch of the leader key: leader_key.c. */
struct ow_key_watch {
    bool is_open;            /**< a watch is in flight */
    double next_at;          /**< no watch before this time */
    uint64_t since_revision; /**< changes after this revision are watched for */
};

/** The lease to which our key is attached: leader_lease.c. */
struct ow_leader_lease {
    uint64_t id;      /**< 0: none */
    bool is_renewing; /**< a renewal is in flight */
    double renew_at;  /**< no renewal before this time */
};

/** The election state of this controller. Times are seconds of the core's monotonic clock. */
struct ow_election {
    struct ow_core *core;
    const struct ow_election_callbacks *callbacks;
    enum ow_election_stage stage;
    bool is_request_pending; /**< a request of the current stage is in flight */
    double next_request_at;  /**< no request of the stage is sent before this time */
    struct ow_candidacy candidacy;
    struct ow_known_key key;
    struct ow_key_watch watch;
    struct ow_leader_lease lease;
    char *leader_name; /**< owned; the leader, if it is another controller; NULL: unknown or none */
    uint64_t highest_fencing_token; /**< the highest observed from any leader */
    uint64_t compared_revision;     /**< the mod_revision that our write of the key compared with */
    uint64_t fencing_token;         /**< of our current or last term; 0: none yet */
    double term_started_at;         /**< when that term started */
};

/** Replaces the name of the leader by a copy of `leader_name`; NULL: unknown or none. */
void ow_election_set_leader_name(struct ow_election *election, const char *leader_name);
/** Becomes a follower, and reads the key `after_s` seconds from now. */
void ow_election_restart(struct ow_election *election, double after_s);
/** Becomes a candidate, with a new lease: one from an earlier attempt may have expired. */
void ow_election_become_candidate(struct ow_election *election);
/** Starts a term with the fencing token: the revision of the write that took the key. */
void ow_election_start_leading(struct ow_election *election, uint64_t fencing_token);
/** Ends our term if we lead, and reads the key again. `reason` is for the log. */
void ow_election_step_down(struct ow_election *election, const char *reason);
/** Seconds from the grant or last renewal of a lease to its next renewal. */
double ow_election_renewal_interval_s(const struct ow_election *election);

#endif
