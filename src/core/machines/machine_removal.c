#include "core/machines/machine_removal.h"

#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/machine.h"
#include "core/scheduling/reservation.h"

void ow_machines_remove(struct ow_leader *leader, struct ow_machine *machine, const char *proof)
{
    while (machine->load.attempts->len > 0)
        ow_attempt_end(leader, g_ptr_array_index(machine->load.attempts, 0), OW_CAUSE_NONE, proof);
    for (guint i = 0; i < leader->executions->len; i++) {
        struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        g_hash_table_remove(execution->failed_machines, machine);
        ow_reservation_remove_machine(execution->reservation, machine);
    }
    ow_command_queue_remove(leader, machine);
    g_hash_table_remove(leader->machines_by_name, machine->name);
    g_ptr_array_remove_fast(leader->machines, machine);
    ow_leader_request_cycle(leader);
}
