#include "wire/peer_body.h"

#include "model/peer.h"

xdrproc_t wire_peer_body_coder(unsigned kind)
{
    switch (kind) {
    case PEER_HELLO:
        return (xdrproc_t)xdr_peer_hello;
    case PEER_SUMMARY:
        return (xdrproc_t)xdr_peer_summary;
    case PEER_JOB_CHANGED:
        return (xdrproc_t)xdr_peer_job_changed;
    case PEER_MACHINES:
        return (xdrproc_t)xdr_peer_machines;
    case PEER_MACHINES_PART:
        return (xdrproc_t)xdr_peer_machines_part;
    case PEER_CANCELLATION:
        return (xdrproc_t)xdr_peer_cancellation;
    case PEER_CANCELLATION_ACK:
        return (xdrproc_t)xdr_peer_cancellation_ack;
    case PEER_HEARTBEAT:
        return (xdrproc_t)xdr_peer_heartbeat;
    case PEER_PROBE:
        return (xdrproc_t)xdr_peer_probe;
    default:
        return NULL;
    }
}

/* ---- from a message to the types of rpcgen ---- */

/* Each of the next three functions allocates a list, to be freed with g_free, whose entries borrow the
   strings of the message. */

static peer_job *fill_jobs(const GArray *jobs)
{
    static char no_reason[] = "";
    peer_job *filled = g_new0(peer_job, jobs->len);
    for (guint i = 0; i < jobs->len; i++) {
        struct ow_peer_job *job = &g_array_index(jobs, struct ow_peer_job, i);
        filled[i] = (peer_job){
            .id = job->id,
            .done = job->done,
            .running = job->running,
            .reason = job->reason != NULL ? job->reason : no_reason,
        };
    }
    return filled;
}

static peer_machine *fill_machines(const GArray *machines)
{
    peer_machine *filled = g_new0(peer_machine, machines->len);
    for (guint i = 0; i < machines->len; i++) {
        struct ow_peer_machine *machine = &g_array_index(machines, struct ow_peer_machine, i);
        filled[i] = (peer_machine){
            .name = machine->name,
            .addr = machine->addr,
            .type = machine->type,
            .zone = machine->zone,
            .spot = machine->spot,
        };
    }
    return filled;
}

static peer_led_shard *fill_shards(const GArray *shards)
{
    peer_led_shard *filled = g_new0(peer_led_shard, shards->len);
    for (guint i = 0; i < shards->len; i++) {
        struct ow_peer_shard *shard = &g_array_index(shards, struct ow_peer_shard, i);
        filled[i] = (peer_led_shard){
            .name = shard->name,
            .fencing_token = shard->fencing_token,
            .serving = shard->serving,
            .machines = shard->machines,
        };
    }
    return filled;
}

static void fill_heartbeat(struct ow_peer_message *message, peer_heartbeat *out)
{
    const struct ow_peer_heartbeat *heartbeat = &message->heartbeat;
    *out = (peer_heartbeat){
        .sender = message->sender,
        .incarnation = heartbeat->incarnation,
        .sequence = heartbeat->sequence,
        .digest = heartbeat->digest,
        .shards = {heartbeat->shards->len, fill_shards(heartbeat->shards)},
    };
}

static void fill_probe(struct ow_peer_message *message, peer_probe *out)
{
    const struct ow_peer_probe *probe = &message->probe;
    *out = (peer_probe){
        .sender = message->sender,
        .step = (u_int)probe->step,
        .origin = probe->origin,
        .relay = probe->relay,
        .target = probe->target,
        .number = probe->number,
    };
}

static void fill_hello(struct ow_peer_message *message, peer_hello *out)
{
    *out = (peer_hello){
        .sender = message->sender,
        .fencing_token = message->fencing_token,
        .leads = message->hello.leads,
        .store_ok = message->hello.store_ok,
        .receives_heartbeats = message->hello.receives_heartbeats,
    };
}

static void fill_machines_part(const struct ow_peer_message *message, peer_machines_part *out)
{
    const struct ow_peer_machine_list *list = &message->machine_list;
    *out = (peer_machines_part){
        .fencing_token = message->fencing_token,
        .part = list->part_index,
        .part_count = list->part_count,
        .machines = {list->machines->len, fill_machines(list->machines)},
    };
}

void *wire_peer_body_from_message(struct ow_peer_message *message, union wire_peer_body *body)
{
    struct ow_peer_cancellation *cancellation = &message->cancellation;
    const GArray *jobs = message->summary.jobs;
    const GArray *machines = message->machine_list.machines;
    switch (message->kind) {
    case OW_PEER_HELLO:
        fill_hello(message, &body->hello);
        return NULL;
    case OW_PEER_SUMMARY:
        body->summary = (peer_summary){message->fencing_token, {jobs->len, fill_jobs(jobs)}};
        return body->summary.jobs.jobs_val;
    case OW_PEER_JOB_CHANGED:
        body->job_changed.revision = message->job_change.revision;
        return NULL;
    case OW_PEER_MACHINES:
        body->machines = (peer_machines){message->fencing_token, {machines->len, fill_machines(machines)}};
        return body->machines.machines.machines_val;
    case OW_PEER_MACHINES_PART:
        fill_machines_part(message, &body->machines_part);
        return body->machines_part.machines.machines_val;
    case OW_PEER_CANCELLATION:
        body->cancellation =
            (peer_cancellation){cancellation->job, cancellation->revision, message->fencing_token};
        return NULL;
    case OW_PEER_CANCELLATION_ACK:
        body->cancellation_ack =
            (peer_cancellation_ack){cancellation->job, cancellation->revision, message->fencing_token};
        return NULL;
    case OW_PEER_HEARTBEAT:
        fill_heartbeat(message, &body->heartbeat);
        return body->heartbeat.shards.shards_val;
    case OW_PEER_PROBE:
        fill_probe(message, &body->probe);
        return NULL;
    case OW_PEER_LINK_LOST:
        return NULL;
    }
    return NULL;
}

/* ---- from the types of rpcgen to a message ---- */

static void read_hello(const peer_hello *hello, struct ow_peer_message *message)
{
    message->sender = g_strdup(hello->sender);
    message->fencing_token = hello->fencing_token;
    message->hello = (struct ow_peer_hello){
        .leads = hello->leads,
        .store_ok = hello->store_ok,
        .receives_heartbeats = hello->receives_heartbeats,
    };
}

static void read_summary(const peer_summary *summary, struct ow_peer_message *message)
{
    message->fencing_token = summary->fencing_token;
    for (u_int i = 0; i < summary->jobs.jobs_len; i++) {
        const peer_job *entry = &summary->jobs.jobs_val[i];
        struct ow_peer_job job = {
            .done = entry->done,
            .running = entry->running,
            .reason = g_strdup(entry->reason),
        };
        g_strlcpy(job.id, entry->id, sizeof job.id);
        g_array_append_val(message->summary.jobs, job);
    }
}

static void read_machines(const peer_machine *entries, u_int count, struct ow_peer_message *message)
{
    for (u_int i = 0; i < count; i++) {
        const peer_machine *entry = &entries[i];
        struct ow_peer_machine machine = {
            .name = g_strdup(entry->name),
            .addr = g_strdup(entry->addr),
            .type = g_strdup(entry->type),
            .zone = g_strdup(entry->zone),
            .spot = entry->spot,
        };
        g_array_append_val(message->machine_list.machines, machine);
    }
}

static void read_machines_part(const peer_machines_part *part, struct ow_peer_message *message)
{
    message->fencing_token = part->fencing_token;
    message->machine_list.part_index = part->part;
    /* A list with too many parts is invalid; part_count 0 makes the receiver drop each of its parts. */
    message->machine_list.part_count = part->part_count <= PEER_PARTS_MAX ? part->part_count : 0;
    read_machines(part->machines.machines_val, part->machines.machines_len, message);
}

static void read_cancellation(const char *job, uint64_t revision, uint64_t fencing_token,
                              struct ow_peer_message *message)
{
    g_strlcpy(message->cancellation.job, job, sizeof message->cancellation.job);
    message->cancellation.revision = revision;
    message->fencing_token = fencing_token;
}

static void read_heartbeat(const peer_heartbeat *heartbeat, struct ow_peer_message *message)
{
    message->sender = g_strdup(heartbeat->sender);
    message->heartbeat.incarnation = heartbeat->incarnation;
    message->heartbeat.sequence = heartbeat->sequence;
    message->heartbeat.digest = heartbeat->digest;
    for (u_int i = 0; i < heartbeat->shards.shards_len; i++) {
        const peer_led_shard *entry = &heartbeat->shards.shards_val[i];
        struct ow_peer_shard shard = {
            .name = entry->name,
            .fencing_token = entry->fencing_token,
            .serving = entry->serving,
            .machines = entry->machines,
        };
        ow_peer_shards_add(message->heartbeat.shards, &shard);
    }
}

static void read_probe(const peer_probe *probe, struct ow_peer_message *message)
{
    message->sender = g_strdup(probe->sender);
    message->probe = (struct ow_peer_probe){
        .step = probe->step < OW_PROBE_STEPS ? (enum ow_probe_step)probe->step : OW_PROBE_STEPS,
        .origin = g_strdup(probe->origin),
        .relay = g_strdup(probe->relay),
        .target = g_strdup(probe->target),
        .number = probe->number,
    };
}

struct ow_peer_message *wire_peer_body_to_message(unsigned kind, const union wire_peer_body *body)
{
    struct ow_peer_message *message = ow_peer_message_new((enum ow_peer_kind)kind);
    const peer_cancellation *cancellation = &body->cancellation;
    const peer_cancellation_ack *ack = &body->cancellation_ack;
    switch (message->kind) {
    case OW_PEER_HELLO:
        read_hello(&body->hello, message);
        break;
    case OW_PEER_SUMMARY:
        read_summary(&body->summary, message);
        break;
    case OW_PEER_JOB_CHANGED:
        message->job_change.revision = body->job_changed.revision;
        break;
    case OW_PEER_MACHINES:
        message->fencing_token = body->machines.fencing_token;
        read_machines(body->machines.machines.machines_val, body->machines.machines.machines_len, message);
        break;
    case OW_PEER_MACHINES_PART:
        read_machines_part(&body->machines_part, message);
        break;
    case OW_PEER_CANCELLATION:
        read_cancellation(cancellation->job, cancellation->revision, cancellation->fencing_token, message);
        break;
    case OW_PEER_CANCELLATION_ACK:
        read_cancellation(ack->job, ack->revision, ack->fencing_token, message);
        break;
    case OW_PEER_HEARTBEAT:
        read_heartbeat(&body->heartbeat, message);
        break;
    case OW_PEER_PROBE:
        read_probe(&body->probe, message);
        break;
    case OW_PEER_LINK_LOST:
        break;
    }
    return message;
}
