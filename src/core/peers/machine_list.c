#include "core/peers/machine_list.h"

#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/peers/message_limits.h"
#include "model/peer.h"

#include <string.h>

/* Up to this size the list is sent in one message. Earlier versions support only this form, with up to 4,000
   machines and 262,144 bytes. */
enum { WHOLE_LIST_MACHINES = 4000, WHOLE_LIST_BYTES = 200 * 1024 };

/* Whether the next leader can use the machine. A booting machine does not listen yet, and would be considered
   unresponsive. */
static bool is_usable_by_next_leader(const struct ow_machine *machine)
{
    bool listens = machine->liveness.last_message_at > 0;
    return listens && machine->addr != NULL && machine->type >= 0 && !machine->is_terminating;
}

static GArray *list_machines(const struct ow_leader *leader)
{
    const struct ow_interners *names = &leader->core->interners;
    GArray *machines = ow_peer_machines_new();
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (!is_usable_by_next_leader(machine))
            continue;
        struct ow_peer_machine entry = {
            .name = g_strdup(machine->name),
            .addr = g_strdup(machine->addr),
            .type = g_strdup(ow_type_sets_name(names->types, machine->type)),
            .zone = g_strdup(ow_interner_text(names->zones, machine->zone)),
            .spot = machine->spot,
        };
        g_array_append_val(machines, entry);
    }
    return machines;
}

static size_t entry_bytes(const struct ow_peer_machine *machine)
{
    return strlen(machine->name) + strlen(machine->addr) + strlen(machine->type) + strlen(machine->zone) +
           OW_MESSAGE_ENTRY_BYTES;
}

static bool fits_one_message(const GArray *machines)
{
    size_t bytes = 0;
    for (guint i = 0; i < machines->len; i++)
        bytes += entry_bytes(&g_array_index(machines, struct ow_peer_machine, i));
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

static struct ow_peer_message *add_part(const struct ow_leader *leader, GPtrArray *parts)
{
    struct ow_peer_message *part = ow_peer_message_new(OW_PEER_MACHINES_PART);
    part->fencing_token = leader->fencing_token;
    part->machine_list.part_index = parts->len;
    g_ptr_array_add(parts, part);
    return part;
}

/* The parts of the list, as struct ow_peer_message; the machines are moved into them. */
static GPtrArray *divide_list(const struct ow_leader *leader, GArray *machines)
{
    GPtrArray *parts = g_ptr_array_new();
    struct ow_peer_message *part = NULL;
    size_t bytes = 0;
    for (guint i = 0; i < machines->len; i++) {
        struct ow_peer_machine *machine = &g_array_index(machines, struct ow_peer_machine, i);
        size_t added_bytes = entry_bytes(machine);
        if (part == NULL || part->machine_list.machines->len >= OW_MESSAGE_PART_ENTRIES ||
            bytes + added_bytes > OW_MESSAGE_PART_BYTES) {
            part = add_part(leader, parts);
            bytes = 0;
        }
        bytes += added_bytes;
        g_array_append_val(part->machine_list.machines, *machine);
        *machine = (struct ow_peer_machine){0};
    }
    return parts;
}

/* Parts have a separate message kind, which earlier versions ignore: they would treat each part as the whole
   list. */
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

void ow_machine_list_send(struct ow_leader *leader)
{
    GArray *machines = list_machines(leader);
    if (fits_one_message(machines))
        send_whole_list(leader, machines);
    else
        send_list_in_parts(leader, machines);
}
