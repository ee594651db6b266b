#include "core/machines/command_queue.h"

#include "core/leader/leader_state.h"
#include "core/machines/machine.h"

/* A worker that learns this leader's fencing token from an answer sends a heartbeat at once; it is sent a
   direct command only if no heartbeat arrives within this time. */
static const double DIRECT_FENCING_DELAY_S = 1;
/* CPU time of a direct command with its answer, in core seconds. */
static const double DIRECT_COMMAND_CPU_S = 100e-6;
/* Share of this process's CPU time for the direct commands to all machines: at a failover every worker also
   sends a heartbeat, and the leader's lease has to be renewed. */
static const double DIRECT_COMMANDS_CPU_SHARE = 0.5;

struct ow_command_queue {
    GPtrArray *machines; /* struct ow_machine, not owned, each once */
};

struct ow_command_queue *ow_command_queue_new(void)
{
    struct ow_command_queue *queue = g_new0(struct ow_command_queue, 1);
    queue->machines = g_ptr_array_new();
    return queue;
}

void ow_command_queue_free(struct ow_command_queue *queue)
{
    g_ptr_array_free(queue->machines, TRUE);
    g_free(queue);
}

guint ow_command_queue_length(const struct ow_leader *leader)
{
    return leader->command_queue->machines->len;
}

struct ow_machine *ow_command_queue_at(const struct ow_leader *leader, guint position)
{
    return g_ptr_array_index(leader->command_queue->machines, position);
}

void ow_command_queue_remove_at(struct ow_leader *leader, guint position)
{
    ow_command_queue_at(leader, position)->direct.is_queued = false;
    g_ptr_array_remove_index_fast(leader->command_queue->machines, position);
}

void ow_command_queue_add(struct ow_leader *leader, struct ow_machine *machine)
{
    if (machine->direct.is_queued)
        return;
    machine->direct.is_queued = true;
    g_ptr_array_add(leader->command_queue->machines, machine);
}

void ow_command_queue_add_unfenced(struct ow_leader *leader, struct ow_machine *machine)
{
    if (!machine->direct.is_queued)
        machine->direct.not_before =
            MAX(machine->direct.not_before, leader->core->now + DIRECT_FENCING_DELAY_S);
    ow_command_queue_add(leader, machine);
}

void ow_command_queue_add_all(struct ow_leader *leader)
{
    double interval_s =
        DIRECT_COMMAND_CPU_S / (DIRECT_COMMANDS_CPU_SHARE * leader->core->settings->core_share);
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        machine->direct.not_before = leader->core->now + i * interval_s;
        ow_command_queue_add(leader, machine);
    }
}

void ow_command_queue_remove(struct ow_leader *leader, struct ow_machine *machine)
{
    if (machine->direct.is_queued)
        g_ptr_array_remove_fast(leader->command_queue->machines, machine);
    machine->direct.is_queued = false;
}
