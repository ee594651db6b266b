/**
 * @file
 * Takes out of an effect what the lease of its leader does not cover. Writes and answers to users pass:
 * writes are compared with the leader key by the store, and answers rest on reads of the store.
 */
#ifndef OW_SHARDING_EFFECT_GUARD_H
#define OW_SHARDING_EFFECT_GUARD_H

#include "model/effect.h"
#include "model/event.h"
#include "sharding/lease_guard.h"

#include <stdbool.h>

/**
 * Takes out of the effect what may not leave in this state of the lease, which is not OW_LEASE_HELD. `*reply`
 * is set to the event that the core gets in place of the effect, owned by the caller, where the effect must
 * not leave at all; NULL: what is left of the effect may leave.
 *
 * @return whether something was taken out.
 */
bool ow_effect_guard_apply(struct ow_effect *effect, enum ow_lease_state lease, struct ow_event **reply);

#endif
