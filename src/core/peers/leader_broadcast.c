#include "core/peers/leader_broadcast.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "model/peer.h"

#include <string.h>

/* How often each is sent. */
static const double SUMMARY_INTERVAL_S = 1.5;
static const double MACHINES_INTERVAL_S = 5;
/* Earlier versions take a list of machines for the whole one, in a message of up to 4,000 machines and
   262,144 bytes. Up to here one message has it. */
enum { WHOLE_LIST_MACHINES = 4000, WHOLE_LIST_BYTES = 200 * 1024 };
/* One message of several has no more than this, so that a link is not busy with it for long. */
enum { PART_BYTES = 64 * 1024, PART_ENTRIES = 1000 };
/* What an entry takes at most beside its texts: four lengths, their padding and a flag. */
enum { ENTRY_BYTES = 32 };

struct ow_leader_broadcast {
    double summary_at;  /* when the jobs are due next */
    double machines_at; /* when the list of machines is due next */
};

struct ow_leader_broadcast *ow_leader_broadcast_new(void)
{
    return g_new0(struct ow_leader_broadcast, 1);
}

void ow_leader_broadcast_free(struct ow_leader_broadcast *broadcast)
{
    g_free(broadcast);
}

/* ---- how jobs fare ---- */

static size_t job_bytes(const struct ow_job *job)
{
    return strlen(job->id) + (job->reason != NULL ? strlen(job->reason) : 0) + ENTRY_BYTES;
}

static struct ow_peer_message *new_summary(const struct ow_leader *leader)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_SUMMARY);
    message->fencing_token = leader->fencing_token;
    return message;
}

/* Each message tells of other jobs, and any version takes in one after the other. */
static void send_summary(struct ow_leader *leader)
{
    struct ow_peer_message *message = new_summary(leader);
    size_t bytes = 0;
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_job *job =
            ((const struct ow_execution *)g_ptr_array_index(leader->executions, i))->job;
        if (message->summary.jobs->len >= PART_ENTRIES || bytes + job_bytes(job) > PART_BYTES) {
            ow_core_send_to_peers(leader->core, message);
            message = new_summary(leader);
            bytes = 0;
        }
        struct ow_peer_job entry = {
            .done = job->done, .running = job->running, .reason = g_strdup(job->reason)};
        g_strlcpy(entry.id, job->id, sizeof entry.id);
        g_array_append_val(message->summary.jobs, entry);
        bytes += job_bytes(job);
    }
    ow_core_send_to_peers(leader->core, message);
}

/* ---- where machines listen ---- */

static GArray *list_machines(const struct ow_leader *leader)
{
    GArray *machines = ow_peer_machines_new();
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        /* One that boots listens nowhere yet: a successor would take it for one that does not answer. */
        bool listens = machine->last_message_at > 0;
        if (!listens || machine->addr == NULL || machine->type < 0 || machine->terminating)
            continue;
        struct ow_peer_machine hint = {
            g_strdup(machine->name), g_strdup(machine->addr),
            g_strdup(ow_interner_text(leader->core->interners.types, machine->type)),
            g_strdup(ow_interner_text(leader->core->interners.zones, machine->zone)), machine->spot};
        g_array_append_val(machines, hint);
    }
    return machines;
}

static size_t machine_bytes(const struct ow_peer_machine *machine)
{
    return strlen(machine->name) + strlen(machine->addr) + strlen(machine->type) + strlen(machine->zone) +
           ENTRY_BYTES;
}

static bool fits_one_message(const GArray *machines)
{
    size_t bytes = 0;
    for (guint i = 0; i < machines->len; i++)
        bytes += machine_bytes(&g_array_index(machines, struct ow_peer_machine, i));
    return machines->len <= WHOLE_LIST_MACHINES && bytes <= WHOLE_LIST_BYTES;
}

static void send_whole_list(struct ow_leader *leader, GArray *machines)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_MACHINES);
    message->fencing_token = leader->fencing_token;
    g_array_free(message->machine_list.machines, TRUE);
    message->machine_list.machines = machines;
    ow_core_send_to_peers(leader->core, message);
}

/* The parts of the list, as struct ow_peer_message; the machines are moved into them. */
static GPtrArray *divide_list(const struct ow_leader *leader, GArray *machines)
{
    GPtrArray *parts = g_ptr_array_new();
    struct ow_peer_message *part = NULL;
    size_t bytes = 0;
    for (guint i = 0; i < machines->len; i++) {
        struct ow_peer_machine *machine = &g_array_index(machines, struct ow_peer_machine, i);
        if (part == NULL || part->machine_list.machines->len >= PART_ENTRIES ||
            bytes + machine_bytes(machine) > PART_BYTES) {
            part = ow_peer_message_new(OW_PEER_MACHINES_PART);
            part->fencing_token = leader->fencing_token;
            part->machine_list.part_index = parts->len;
            g_ptr_array_add(parts, part);
            bytes = 0;
        }
        bytes += machine_bytes(machine);
        g_array_append_val(part->machine_list.machines, *machine);
        *machine = (struct ow_peer_machine){0};
    }
    return parts;
}

/* Controllers of earlier versions skip the parts, for they would take each for the whole list. */
static void send_list_in_parts(struct ow_leader *leader, GArray *machines)
{
    GPtrArray *parts = divide_list(leader, machines);
    for (guint i = 0; i < parts->len; i++) {
        struct ow_peer_message *part = g_ptr_array_index(parts, i);
        part->machine_list.part_count = parts->len;
        ow_core_send_to_peers(leader->core, part);
    }
    g_ptr_array_free(parts, TRUE);
    g_array_free(machines, TRUE);
}

static void send_machines(struct ow_leader *leader)
{
    GArray *machines = list_machines(leader);
    if (fits_one_message(machines))
        send_whole_list(leader, machines);
    else
        send_list_in_parts(leader, machines);
}

void ow_leader_broadcast_tick(struct ow_leader *leader)
{
    struct ow_leader_broadcast *broadcast = leader->broadcast;
    double now = leader->core->now;
    if (now >= broadcast->summary_at) {
        broadcast->summary_at = now + SUMMARY_INTERVAL_S;
        send_summary(leader);
    }
    if (now >= broadcast->machines_at) {
        broadcast->machines_at = now + MACHINES_INTERVAL_S;
        send_machines(leader);
    }
}
