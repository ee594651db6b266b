/**
 * @file
 * Removes from an effect what must not be sent without a valid lease. Writes and answers to users are not
 * restricted: the store rejects writes of a deposed leader by their compare on the leader key, and answers
 * are based on reads of the store.
 */
#ifndef OW_SHARDING_EFFECT_GUARD_H
#define OW_SHARDING_EFFECT_GUARD_H

#include "model/effect.h"
#include "model/event.h"
#include "sharding/lease_guard.h"

#include <stdbool.h>

/**
 * Removes from the effect what must not be sent in this state of the lease, which is not OW_LEASE_HELD. If
 * the whole effect must not be sent, `*reply` is set to the event that the core gets instead, owned by the
 * caller; NULL: what remains of the effect may be sent.
 *
 * @return whether anything was removed. */
bool ow_effect_guard_apply(struct ow_effect *effect, enum ow_lease_state lease, struct ow_event **reply);

#endif
