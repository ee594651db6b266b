/**
 * @file
 * Decides by the leader's own clock whether it still holds its lease; checked before every effect is sent.
 *
 * Guards safety rule 9 of the architecture: the lease is counted from when its request was sent, less clock
 * drift and a margin, and after a pause of the process nothing is sent before the key-value store has
 * answered a request sent since. No clock and no I/O: times are seconds of the caller's monotonic clock.
 */
#ifndef OW_SHARDING_LEASE_GUARD_H
#define OW_SHARDING_LEASE_GUARD_H

#include <stdint.h>

/** The state of the lease, which decides which effects may be sent. */
enum ow_lease_state {
    OW_LEASE_HELD,     /**< all effects may be sent */
    OW_LEASE_EXPIRED,  /**< expired by the local clock, but the store has answered since the last pause:
                          heartbeat replies and stops of tasks may be sent, but nothing is started,
                          provisioned or terminated */
    OW_LEASE_UNPROVEN, /**< a pause may have been longer than the lease, and the store has not answered since,
                            or it has answered that the lease is gone: nothing may be sent */
};

/** The lease of one leader. Changed by the functions below only. */
struct ow_lease_guard {
    double lease_s;          /**< the duration that the store grants */
    double held_until;       /**< expiry by the local clock, less drift and margin; 0: never held */
    double resumed_at;       /**< the end of the last pause that may have been longer than the lease */
    double answered_sent_at; /**< when the last answered renewal was sent; negative: none */
    uint64_t renewal_tag;    /**< of the renewal in flight; 0: none */
    double renewal_sent_at;  /**< when the last renewal was sent */
};

/** Initializes the guard of a lease of `lease_s` seconds that is not held yet. */
void ow_lease_guard_init(struct ow_lease_guard *guard, double lease_s);
/** Records that a request to obtain or renew the lease is sent with this tag, which is not 0. */
void ow_lease_guard_note_request(struct ow_lease_guard *guard, uint64_t tag, double now);
/** Records the key-value store's reply to the request with this tag; OW_HTTP_STATUS_NONE: no response.
 * Replies to other requests change nothing. */
void ow_lease_guard_note_reply(struct ow_lease_guard *guard, uint64_t tag, int status);
/** Records that the process resumed after a pause that may have been longer than the lease. */
void ow_lease_guard_note_pause(struct ow_lease_guard *guard, double resumed_at);
/** The state of the lease now. */
enum ow_lease_state ow_lease_guard_state(const struct ow_lease_guard *guard, double now);

#endif
