#include "core/peers/machine_hints.h"

#include "model/peer.h"

struct ow_machine_hints {
    GArray *machines;       /* struct ow_peer_machine: the last complete list */
    uint64_t fencing_token; /* of the newest leader that has sent a list */
    /* A list that is received in parts: */
    GArray *assembled;   /* struct ow_peer_machine of the parts so far; NULL: no list is being assembled */
    uint32_t next_part;  /* index of the expected part */
    uint32_t part_count; /* of the whole list */
};

struct ow_machine_hints *ow_machine_hints_new(void)
{
    struct ow_machine_hints *hints = g_new0(struct ow_machine_hints, 1);
    hints->machines = ow_peer_machines_new();
    return hints;
}

static void drop_parts(struct ow_machine_hints *hints)
{
    if (hints->assembled != NULL)
        g_array_free(hints->assembled, TRUE);
    hints->assembled = NULL;
}

void ow_machine_hints_free(struct ow_machine_hints *hints)
{
    drop_parts(hints);
    g_array_free(hints->machines, TRUE);
    g_free(hints);
}

const GArray *ow_machine_hints_list(const struct ow_machine_hints *hints)
{
    return hints->machines;
}

static void replace_list(struct ow_machine_hints *hints, GArray *machines)
{
    g_array_free(hints->machines, TRUE);
    hints->machines = machines;
}

/* Whether the part is the next one of the list being assembled, or begins a list. */
static bool is_expected(const struct ow_machine_hints *hints, const struct ow_peer_machine_list *part)
{
    if (part->part_index == 0)
        return true;
    return hints->assembled != NULL && part->part_index == hints->next_part &&
           part->part_count == hints->part_count;
}

/* Moves the machines of the part to the end of the list being assembled. */
static void append_part(struct ow_machine_hints *hints, struct ow_peer_machine_list *part)
{
    for (guint i = 0; i < part->machines->len; i++) {
        struct ow_peer_machine *machine = &g_array_index(part->machines, struct ow_peer_machine, i);
        g_array_append_val(hints->assembled, *machine);
        *machine = (struct ow_peer_machine){0};
    }
}

static void receive_part(struct ow_machine_hints *hints, struct ow_peer_machine_list *part)
{
    if (part->part_index >= part->part_count || !is_expected(hints, part)) {
        g_info("machine list dropped, part out of sequence: part=%u parts=%u", part->part_index + 1,
               part->part_count);
        drop_parts(hints);
        return;
    }
    if (part->part_index == 0) {
        drop_parts(hints);
        hints->assembled = ow_peer_machines_new();
        hints->part_count = part->part_count;
    }
    append_part(hints, part);
    hints->next_part = part->part_index + 1;
    if (hints->next_part == hints->part_count)
        replace_list(hints, g_steal_pointer(&hints->assembled));
}

void ow_machine_hints_receive(struct ow_machine_hints *hints, struct ow_peer_message *message)
{
    if (message->fencing_token < hints->fencing_token) {
        g_info("machine list of an older leader dropped: fencing_token=%" G_GUINT64_FORMAT,
               message->fencing_token);
        return;
    }
    /* Parts sent by two leaders must not be combined. */
    if (message->fencing_token > hints->fencing_token)
        drop_parts(hints);
    hints->fencing_token = message->fencing_token;
    if (message->kind == OW_PEER_MACHINES_PART) {
        receive_part(hints, &message->machine_list);
        return;
    }
    drop_parts(hints);
    replace_list(hints, g_steal_pointer(&message->machine_list.machines));
}
