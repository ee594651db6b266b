/* What a leader may still send, by its own clock: it checks its lease before every effect, and after a pause
 * of the process nothing leaves before the key-value store has answered anew. No clock and no I/O. */
#ifndef OW_SHARDING_LEASE_GUARD_H
#define OW_SHARDING_LEASE_GUARD_H

#include <stdbool.h>
#include <stdint.h>

/* What may leave. */
enum ow_lease_verdict {
    OW_LEASE_HELD,       /* everything */
    OW_LEASE_KEEP_ALIVE, /* answers that keep running tasks alive and stop cancelled ones: nothing is started,
                            provisioned or returned */
    OW_LEASE_UNPROVEN,   /* nothing */
};

struct ow_lease_guard {
    double lease_s;
    double held_until;  /* by our clock, with drift taken off; 0: never held */
    double resumed_at;  /* the end of the last pause that may have outlived the lease */
    double answered_at; /* when the last request was sent that the key-value store has answered since */
    uint64_t renewal;   /* tag of the last request for the lease; 0: none under way */
    double renewal_at;  /* when it was sent */
};

void ow_lease_guard_init(struct ow_lease_guard *guard, double lease_s);
/* A request that obtains or renews the lease leaves under this tag. */
void ow_lease_guard_requested(struct ow_lease_guard *guard, uint64_t tag, double now);
/* The key-value store's response to a request; status 0: none came. */
void ow_lease_guard_answered(struct ow_lease_guard *guard, uint64_t tag, int status);
/* The process goes on after a pause that may have outlived the lease. */
void ow_lease_guard_resumed(struct ow_lease_guard *guard, double now);
enum ow_lease_verdict ow_lease_guard_check(const struct ow_lease_guard *guard, double now);

#endif
