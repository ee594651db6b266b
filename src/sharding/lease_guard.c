#include "sharding/lease_guard.h"

#include "model/http_status.h"
#include "util/clock_drift.h"

/* Beyond the drift of the key-value store's clock: an effect may need as long from the check to the wire. */
static const double MARGIN_S = 0.1;

void ow_lease_guard_init(struct ow_lease_guard *guard, double lease_s)
{
    *guard = (struct ow_lease_guard){.lease_s = lease_s, .answered_at = -1};
}

void ow_lease_guard_requested(struct ow_lease_guard *guard, uint64_t tag, double now)
{
    guard->renewal = tag;
    guard->renewal_at = now;
}

void ow_lease_guard_answered(struct ow_lease_guard *guard, uint64_t tag, int status)
{
    /* An answer may have lain in a socket during a pause: it counts from when its request was sent. */
    if (tag != guard->renewal || status == OW_HTTP_STATUS_NONE)
        return;
    guard->renewal = 0;
    guard->answered_at = guard->renewal_at;
    /* The lease counts from when it was asked for, not from when the answer came. */
    if (status == OW_HTTP_STATUS_OK)
        guard->held_until = guard->renewal_at + ow_clock_drift_shortest_s(guard->lease_s) - MARGIN_S;
}

void ow_lease_guard_resumed(struct ow_lease_guard *guard, double now)
{
    guard->resumed_at = now;
}

enum ow_lease_verdict ow_lease_guard_check(const struct ow_lease_guard *guard, double now)
{
#ifndef OW_FAULT_NO_LEASE_CHECK /* planted by tests/loopback, to see that its checker notices */
    if (now < guard->held_until)
        return OW_LEASE_HELD;
    return guard->answered_at >= guard->resumed_at ? OW_LEASE_KEEP_ALIVE : OW_LEASE_UNPROVEN;
#else
    (void)guard;
    (void)now;
    return OW_LEASE_HELD;
#endif
}
