/**
 * @file
 * Whether a leader still holds its lease, by its own clock: it is asked before every effect leaves.
 *
 * Guards safety rule 9 of the architecture: the lease counts from when it was asked for, with clock drift and
 * a margin taken off, and after a pause of the process nothing leaves before the key-value store has answered
 * anew. No clock and no I/O: times are seconds of the caller's monotonic clock.
 */
#ifndef OW_SHARDING_LEASE_GUARD_H
#define OW_SHARDING_LEASE_GUARD_H

#include <stdint.h>

/** What is known of the lease, and so what may leave. */
enum ow_lease_state {
    OW_LEASE_HELD,     /**< everything may leave */
    OW_LEASE_EXPIRED,  /**< not held by our clock, though the store has answered since the last pause: answers
                            that keep running tasks alive and stop cancelled ones may leave; nothing is
                          started,  provisioned or terminated */
    OW_LEASE_UNPROVEN, /**< a pause may have outlived the lease, and the store has not answered since: nothing
                            may leave */
};

/** The lease of one leader. Changed by the functions below only. */
struct ow_lease_guard {
    double lease_s;          /**< how long the store grants it for */
    double held_until;       /**< by our clock, with drift and margin taken off; 0: never held */
    double resumed_at;       /**< the end of the last pause that may have outlived the lease */
    double answered_sent_at; /**< when the last renewal was sent that was answered; negative: none */
    uint64_t renewal_tag;    /**< of the renewal under way; 0: none */
    double renewal_sent_at;  /**< when it was sent */
};

/** A guard of a lease that is not held yet, and will be granted for `lease_s` seconds. */
void ow_lease_guard_init(struct ow_lease_guard *guard, double lease_s);
/** A request that obtains or renews the lease leaves under this tag, which is not 0. */
void ow_lease_guard_note_request(struct ow_lease_guard *guard, uint64_t tag, double now);
/** The key-value store's reply to the request with this tag; OW_HTTP_STATUS_NONE: none came. Replies to other
 * requests change nothing. */
void ow_lease_guard_note_reply(struct ow_lease_guard *guard, uint64_t tag, int status);
/** The process goes on after a pause that may have outlived the lease. */
void ow_lease_guard_note_pause(struct ow_lease_guard *guard, double resumed_at);
/** What is known of the lease now. */
enum ow_lease_state ow_lease_guard_state(const struct ow_lease_guard *guard, double now);

#endif
