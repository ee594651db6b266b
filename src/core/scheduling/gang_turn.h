/* Which short gang keeps its holds from the gangs behind it, so that it starts in time. */
#ifndef OW_CORE_SCHEDULING_GANG_TURN_H
#define OW_CORE_SCHEDULING_GANG_TURN_H

#include "core/jobs/execution.h"

#include <stdbool.h>

struct ow_leader;

/* Whether the gang takes its turn in this pass: one gang at most does, the first in the queue that asks. */
bool ow_gang_turn_take(struct ow_leader *leader, const struct ow_execution *execution);

#endif
