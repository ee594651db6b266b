#include "core/leader/leader_state.h"

void ow_leader_request_cycle(struct ow_leader *leader)
{
    leader->cycle.due = true;
}
