#include "model/peer.h"

static void clear_job(void *job)
{
    struct ow_peer_job *cleared = job;
    g_free(cleared->reason);
}

static void clear_machine(void *machine)
{
    struct ow_peer_machine *cleared = machine;
    g_free(cleared->name);
    g_free(cleared->addr);
    g_free(cleared->type);
    g_free(cleared->zone);
}

static void clear_shard(void *shard)
{
    struct ow_peer_shard *cleared = shard;
    g_free(cleared->name);
}

static GArray *new_list(guint entry_bytes, GDestroyNotify clear_entry)
{
    GArray *list = g_array_new(FALSE, TRUE, entry_bytes);
    g_array_set_clear_func(list, clear_entry);
    return list;
}

GArray *ow_peer_machines_new(void)
{
    return new_list(sizeof(struct ow_peer_machine), clear_machine);
}

GArray *ow_peer_shards_new(void)
{
    return new_list(sizeof(struct ow_peer_shard), clear_shard);
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
    if (kind == OW_PEER_SUMMARY)
        message->summary.jobs = new_list(sizeof(struct ow_peer_job), clear_job);
    else if (kind == OW_PEER_MACHINES || kind == OW_PEER_MACHINES_PART)
        message->machine_list.machines = ow_peer_machines_new();
    else if (kind == OW_PEER_HEARTBEAT)
        message->heartbeat.shards = ow_peer_shards_new();
    return message;
}

void ow_peer_message_free(struct ow_peer_message *message)
{
    if (message == NULL)
        return;
    g_free(message->shard);
    g_free(message->addressee);
    g_free(message->sender);
    g_clear_pointer(&message->summary.jobs, g_array_unref);
    g_clear_pointer(&message->machine_list.machines, g_array_unref);
    g_clear_pointer(&message->heartbeat.shards, g_array_unref);
    g_free(message->probe.origin);
    g_free(message->probe.relay);
    g_free(message->probe.target);
    g_free(message);
}
