#include "model/peer.h"

static void peer_job_clear(void *item)
{
    g_free(((struct ow_peer_job *)item)->reason);
}

static void peer_machine_clear(void *item)
{
    struct ow_peer_machine *machine = item;
    g_free(machine->name);
    g_free(machine->addr);
    g_free(machine->type);
    g_free(machine->zone);
}

GArray *ow_peer_machines_new(void)
{
    GArray *machines = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_machine));
    g_array_set_clear_func(machines, peer_machine_clear);
    return machines;
}

static void peer_shard_clear(void *item)
{
    g_free(((struct ow_peer_shard *)item)->name);
}

GArray *ow_peer_shards_new(void)
{
    GArray *shards = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_shard));
    g_array_set_clear_func(shards, peer_shard_clear);
    return shards;
}

void ow_peer_shards_add(GArray *shards, const struct ow_peer_shard *shard)
{
    struct ow_peer_shard copy = *shard;
    copy.name = g_strdup(shard->name);
    g_array_append_val(shards, copy);
}

struct ow_peer_message *ow_peer_message_new(enum ow_peer_kind kind)
{
    struct ow_peer_message *message = g_new0(struct ow_peer_message, 1);
    message->kind = kind;
    if (kind == OW_PEER_SUMMARY) {
        message->jobs = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_job));
        g_array_set_clear_func(message->jobs, peer_job_clear);
    } else if (kind == OW_PEER_MACHINES || kind == OW_PEER_MACHINES_PART) {
        message->machines = ow_peer_machines_new();
    } else if (kind == OW_PEER_HEARTBEAT) {
        message->shards = ow_peer_shards_new();
    }
    return message;
}

void ow_peer_message_free(struct ow_peer_message *message)
{
    if (message == NULL)
        return;
    g_free(message->sender);
    if (message->jobs != NULL)
        g_array_free(message->jobs, TRUE);
    if (message->machines != NULL)
        g_array_free(message->machines, TRUE);
    if (message->shards != NULL)
        g_array_free(message->shards, TRUE);
    g_free(message->shard);
    g_free(message->addressee);
    g_free(message->origin);
    g_free(message->relay);
    g_free(message->target);
    g_free(message);
}
