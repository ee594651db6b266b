#include "sharding/lease_guard.h"

#include "model/http_status.h"
#include "util/clock_drift.h"

/* Safety margin beyond clock drift: upper bound of the time from the check until the effect is on the wire.
 */
static const double MARGIN_S = 0.1;
/* A time before any other. */
static const double NEVER = -1;

void ow_lease_guard_init(struct ow_lease_guard *guard, double lease_s)
{
    *guard = (struct ow_lease_guard){.lease_s = lease_s, .answered_sent_at = NEVER};
}

void ow_lease_guard_note_request(struct ow_lease_guard *guard, uint64_t tag, double now)
{
    guard->renewal_tag = tag;
    guard->renewal_sent_at = now;
}

/* The store no longer has the lease, so another controller may lead. Until the core has handled the reply it
   still answers heartbeats. */
static void lose_lease(struct ow_lease_guard *guard)
{
    guard->held_until = 0;
    guard->answered_sent_at = NEVER;
}

void ow_lease_guard_note_reply(struct ow_lease_guard *guard, uint64_t tag, int status)
{
    if (tag != guard->renewal_tag || status == OW_HTTP_STATUS_NONE)
        return;
    guard->renewal_tag = 0;
    if (status == OW_HTTP_STATUS_NOT_FOUND) {
        lose_lease(guard);
        return;
    }
    /* The reply may have waited in the socket during a pause, so it proves contact with the store only at
       the time its request was sent. */
    guard->answered_sent_at = guard->renewal_sent_at;
    /* The lease may have started at any time since the request was sent, so the earliest time counts. */
    if (status == OW_HTTP_STATUS_OK)
        guard->held_until = guard->renewal_sent_at + ow_clock_drift_shortest_s(guard->lease_s) - MARGIN_S;
}

void ow_lease_guard_note_pause(struct ow_lease_guard *guard, double resumed_at)
{
    guard->resumed_at = resumed_at;
}

enum ow_lease_state ow_lease_guard_state(const struct ow_lease_guard *guard, double now)
{
#ifndef OW_FAULT_NO_LEASE_CHECK /* fault injection: tests/loopback verifies that its checker detects the     \
                                   missing guard */
    if (now < guard->held_until)
        return OW_LEASE_HELD;
    return guard->answered_sent_at >= guard->resumed_at ? OW_LEASE_EXPIRED : OW_LEASE_UNPROVEN;
#else
    (void)guard;
    (void)now;
    return OW_LEASE_HELD;
#endif
}
