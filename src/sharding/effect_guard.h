/* Takes out of an effect what the lease does not cover. */
#ifndef OW_SHARDING_EFFECT_GUARD_H
#define OW_SHARDING_EFFECT_GUARD_H

#include "model/effect.h"
#include "model/event.h"
#include "sharding/lease_guard.h"

#include <stdbool.h>

/* Whether something was taken out. *refusal becomes the answer that the core gets instead of the effect,
   where the effect must not leave at all; it belongs to the caller. */
bool ow_effect_guard(struct ow_effect *effect, enum ow_lease_verdict verdict, struct ow_event **refusal);

#endif
