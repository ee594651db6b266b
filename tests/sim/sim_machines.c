/* The simulated machines: their creation and deletion, and the heartbeats that they send. Tests may send
 * copies of heartbeats late or twice, and set a reclaim notice (`reclaim_notice_s`). */
#include "sim_internal.h"
#include "model/event.h"
#include "model/worker.h"

struct sim_machine *sim_machine(struct sim_cluster *cluster, const char *name)
{
    return g_hash_table_lookup(cluster->machines_by_name, name);
}

struct sim_machine *sim_machine_at(const struct sim_cluster *cluster, guint index)
{
    return g_ptr_array_index(cluster->machines, index);
}

struct sim_machine *sim_add_machine(struct sim_cluster *cluster, const char *name, const char *type,
                                    const char *zone, bool spot)
{
    struct sim_machine *machine = g_new0(struct sim_machine, 1);
    g_strlcpy(machine->name, name, sizeof machine->name);
    g_snprintf(machine->addr, sizeof machine->addr, "%s:9000", name);
    g_strlcpy(machine->type, type, sizeof machine->type);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->spot = spot;
    machine->incarnation = 1;
    machine->reclaim_notice_s = -1;
    machine->only_reachable_controller = -1;
    machine->booted_at = machine->lease_renewed_at = machine->next_heartbeat_at = cluster->now;
    machine->tasks = g_array_new(FALSE, TRUE, sizeof(struct sim_task));
    g_ptr_array_add(cluster->machines, machine);
    g_hash_table_insert(cluster->machines_by_name, machine->name, machine);
    g_hash_table_insert(cluster->machines_by_name, machine->addr, machine);
    return machine;
}

void sim_add_group(struct sim_cluster *cluster, const char *prefix, int machines, const char *zone, bool spot)
{
    for (int i = 0; i < machines; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "%s-%d", prefix, i);
        sim_add_machine(cluster, name, "big", zone, spot);
    }
}

void sim_add_machines(struct sim_cluster *cluster, int machines)
{
    sim_add_group(cluster, "m", machines, "east", false);
}

void sim_delete_machine(struct sim_machine *machine)
{
    machine->deleted = true;
    g_array_set_size(machine->tasks, 0);
}

struct ow_heartbeat *sim_heartbeat_new(struct sim_machine *machine)
{
    struct ow_heartbeat *heartbeat = g_new0(struct ow_heartbeat, 1);
    heartbeat->machine = g_strdup(machine->name);
    heartbeat->addr = g_strdup(machine->addr);
    heartbeat->type = g_strdup(machine->type);
    heartbeat->zone = g_strdup(machine->zone);
    heartbeat->spot = machine->spot;
    heartbeat->incarnation = machine->incarnation;
    heartbeat->sequence = ++machine->sequence;
    heartbeat->fencing_token = machine->fencing_token;
    heartbeat->reclaim_notice_s = machine->reclaim_notice_s;
    heartbeat->tasks = g_array_new(FALSE, TRUE, sizeof(struct ow_task_status));
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, i);
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

void sim_send_empty_heartbeat(struct sim_cluster *cluster, int controller, const struct sim_machine *machine,
                              uint64_t seq, uint64_t fencing_token)
{
    struct sim_machine copy = *machine;
    struct ow_event *event = ow_event_new(OW_EVENT_HEARTBEAT, (uint64_t)1 << 60);
    copy.sequence = seq - 1;
    copy.fencing_token = fencing_token;
    event->heartbeat = sim_heartbeat_new(&copy);
    g_array_set_size(event->heartbeat->tasks, 0);
    sim_deliver(cluster, controller, cluster->process_nonce[controller], 0, event);
}

struct ow_heartbeat *sim_copy_last_heartbeat(const struct sim_machine *machine)
{
    struct sim_machine copy = *machine;
    copy.sequence--;
    return sim_heartbeat_new(&copy);
}

void sim_send_heartbeat(struct sim_cluster *cluster, int controller, struct ow_heartbeat *heartbeat)
{
    struct ow_event *event = ow_event_new(OW_EVENT_HEARTBEAT, (uint64_t)1 << 60);
    event->heartbeat = heartbeat;
    sim_deliver(cluster, controller, cluster->process_nonce[controller], 0, event);
}

void sim_restart_worker(struct sim_cluster *cluster, struct sim_machine *machine)
{
    g_array_set_size(machine->tasks, 0);
    machine->incarnation = 1;
    machine->sequence = machine->fencing_token = 0;
    machine->awaits_response = false;
    machine->lease_renewed_at = machine->next_heartbeat_at = cluster->now;
}

void sim_reboot_machine(struct sim_cluster *cluster, struct sim_machine *machine, uint64_t fencing_token)
{
    g_array_set_size(machine->tasks, 0);
    machine->incarnation++;
    machine->fencing_token = fencing_token;
    machine->awaits_response = false;
    machine->lease_renewed_at = machine->next_heartbeat_at = cluster->now;
}
