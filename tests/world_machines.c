/* The simulated machines: their creation and deletion, and their heartbeats. */
#include "world_parts.h"

struct world_machine *world_machine(struct world *w, const char *name)
{
    return g_hash_table_lookup(w->machines_by_name, name);
}

struct world_machine *world_machine_at(const struct world *w, guint index)
{
    return g_ptr_array_index(w->machines, index);
}

struct world_machine *world_add_machine(struct world *w, const char *name, const char *type, const char *zone,
                                        bool spot)
{
    struct world_machine *machine = g_new0(struct world_machine, 1);
    g_strlcpy(machine->name, name, sizeof machine->name);
    g_snprintf(machine->addr, sizeof machine->addr, "%s:9000", name);
    g_strlcpy(machine->type, type, sizeof machine->type);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->spot = spot;
    machine->incarnation = 1;
    machine->reclaim_notice_s = -1;
    machine->only_controller = -1;
    machine->up_at = machine->renewed_at = machine->heartbeat_at = w->now;
    machine->tasks = g_array_new(FALSE, TRUE, sizeof(struct world_task));
    g_ptr_array_add(w->machines, machine);
    g_hash_table_insert(w->machines_by_name, machine->name, machine);
    g_hash_table_insert(w->machines_by_name, machine->addr, machine);
    return machine;
}

void world_add_group(struct world *w, const char *prefix, int machines, const char *zone, bool spot)
{
    for (int i = 0; i < machines; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "%s-%d", prefix, i);
        world_add_machine(w, name, "big", zone, spot);
    }
}

void world_add_machines(struct world *w, int machines)
{
    world_add_group(w, "m", machines, "east", false);
}

void world_delete_machine(struct world_machine *machine)
{
    machine->gone = true;
    g_array_set_size(machine->tasks, 0);
}

struct ow_heartbeat *world_make_heartbeat(struct world_machine *machine)
{
    struct ow_heartbeat *heartbeat = g_new0(struct ow_heartbeat, 1);
    heartbeat->machine = g_strdup(machine->name);
    heartbeat->addr = g_strdup(machine->addr);
    heartbeat->type = g_strdup(machine->type);
    heartbeat->zone = g_strdup(machine->zone);
    heartbeat->spot = machine->spot;
    heartbeat->incarnation = machine->incarnation;
    heartbeat->seq = ++machine->seq;
    heartbeat->fencing_token = machine->fencing_token;
    heartbeat->reclaim_notice_s = machine->reclaim_notice_s;
    heartbeat->tasks = g_array_new(FALSE, TRUE, sizeof(struct ow_task_status));
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct world_task *task = &g_array_index(machine->tasks, struct world_task, i);
        struct ow_task_status task_status = {.task = task->task,
                                             .attempt = task->attempt,
                                             .phase = task->phase,
                                             .cause = task->cause,
                                             .saved = task->saved};
        g_strlcpy(task_status.job, task->job, sizeof task_status.job);
        g_array_append_val(heartbeat->tasks, task_status);
    }
    return heartbeat;
}

void world_heartbeat(struct world *w, int controller, const struct world_machine *machine, uint64_t seq,
                     uint64_t fencing_token)
{
    struct world_machine copy = *machine;
    struct ow_event *event = world_command(OW_EVENT_HEARTBEAT, (uint64_t)1 << 60);
    copy.seq = seq - 1;
    copy.fencing_token = fencing_token;
    event->heartbeat = world_make_heartbeat(&copy);
    g_array_set_size(event->heartbeat->tasks, 0);
    world_deliver(w, controller, w->controller_nonce[controller], 0, event);
}

struct ow_heartbeat *world_last_heartbeat(const struct world_machine *machine)
{
    struct world_machine copy = *machine;
    copy.seq--;
    return world_make_heartbeat(&copy);
}

void world_send_copy(struct world *w, int controller, struct ow_heartbeat *heartbeat)
{
    struct ow_event *event = world_command(OW_EVENT_HEARTBEAT, (uint64_t)1 << 60);
    event->heartbeat = heartbeat;
    world_deliver(w, controller, w->controller_nonce[controller], 0, event);
}

void world_reboot(struct world *w, struct world_machine *machine)
{
    g_array_set_size(machine->tasks, 0);
    machine->incarnation = 1;
    machine->seq = machine->fencing_token = 0;
    machine->heartbeat_busy = false;
    machine->renewed_at = machine->heartbeat_at = w->now;
}
