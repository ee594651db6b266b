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

/* The jobs of a summary; the caller frees the array, but not its texts. */
static peer_job *fill_jobs(const GArray *jobs)
{
    static char none[] = "";
    peer_job *filled = g_new0(peer_job, jobs->len);
    for (guint i = 0; i < jobs->len; i++) {
        struct ow_peer_job *job = &g_array_index(jobs, struct ow_peer_job, i);
        filled[i] = (peer_job){job->id, job->done, job->running, job->reason != NULL ? job->reason : none};
    }
    return filled;
}

/* The same of a list of machines. */
static peer_machine *fill_machines(const GArray *machines)
{
    peer_machine *filled = g_new0(peer_machine, machines->len);
    for (guint i = 0; i < machines->len; i++) {
        struct ow_peer_machine *machine = &g_array_index(machines, struct ow_peer_machine, i);
        filled[i] = (peer_machine){machine->name, machine->addr, machine->type, machine->zone, machine->spot};
    }
    return filled;
}

/* The same of the shards that the sender of a heartbeat leads. */
static peer_led_shard *fill_shards(const GArray *shards)
{
    peer_led_shard *filled = g_new0(peer_led_shard, shards->len);
    for (guint i = 0; i < shards->len; i++) {
        struct ow_peer_shard *shard = &g_array_index(shards, struct ow_peer_shard, i);
        filled[i] = (peer_led_shard){shard->name, shard->fencing_token, shard->serving, shard->machines};
    }
    return filled;
}

void *wire_peer_body_fill(struct ow_peer_message *message, union wire_peer_body *body)
{
    switch (message->kind) {
    case OW_PEER_HELLO:
        body->hello = (peer_hello){message->sender, message->number, message->leads, message->store_ok,
                                   message->receives_heartbeats};
        return NULL;
    case OW_PEER_SUMMARY:
        body->summary = (peer_summary){message->number, {message->jobs->len, fill_jobs(message->jobs)}};
        return body->summary.jobs.jobs_val;
    case OW_PEER_JOB_CHANGED:
        body->job_changed.revision = message->number;
        return NULL;
    case OW_PEER_MACHINES:
        body->machines =
            (peer_machines){message->number, {message->machines->len, fill_machines(message->machines)}};
        return body->machines.machines.machines_val;
    case OW_PEER_MACHINES_PART:
        body->machines_part =
            (peer_machines_part){message->number,
                                 message->part,
                                 message->part_count,
                                 {message->machines->len, fill_machines(message->machines)}};
        return body->machines_part.machines.machines_val;
    case OW_PEER_CANCELLATION:
        body->cancellation = (peer_cancellation){message->job, message->revision, message->number};
        return NULL;
    case OW_PEER_CANCELLATION_ACK:
        body->cancellation_ack = (peer_cancellation_ack){message->job, message->revision, message->number};
        return NULL;
    case OW_PEER_HEARTBEAT:
        body->heartbeat = (peer_heartbeat){message->sender,
                                           message->incarnation,
                                           message->sequence,
                                           message->digest,
                                           {message->shards->len, fill_shards(message->shards)}};
        return body->heartbeat.shards.shards_val;
    case OW_PEER_PROBE:
        body->probe = (peer_probe){message->sender, (u_int)message->step, message->origin,
                                   message->relay,  message->target,      message->number};
        return NULL;
    case OW_PEER_LINK_LOST:
        return NULL;
    }
    return NULL;
}

static void read_summary(const peer_summary *summary, struct ow_peer_message *message)
{
    message->number = summary->fencing_token;
    for (u_int i = 0; i < summary->jobs.jobs_len; i++) {
        const peer_job *entry = &summary->jobs.jobs_val[i];
        struct ow_peer_job job = {
            .done = entry->done, .running = entry->running, .reason = g_strdup(entry->reason)};
        g_strlcpy(job.id, entry->id, sizeof job.id);
        g_array_append_val(message->jobs, job);
    }
}

static void read_machines(const peer_machine *machines, u_int count, struct ow_peer_message *message)
{
    for (u_int i = 0; i < count; i++) {
        const peer_machine *machine = &machines[i];
        struct ow_peer_machine hint = {g_strdup(machine->name), g_strdup(machine->addr),
                                       g_strdup(machine->type), g_strdup(machine->zone), machine->spot};
        g_array_append_val(message->machines, hint);
    }
}

static void read_machines_part(const peer_machines_part *part, struct ow_peer_message *message)
{
    message->number = part->fencing_token;
    message->part = part->part;
    /* A list of more parts than there may be is none: its parts are dropped one by one. */
    message->part_count = part->part_count <= PEER_PARTS_MAX ? part->part_count : 0;
    read_machines(part->machines.machines_val, part->machines.machines_len, message);
}

static void read_heartbeat(const peer_heartbeat *heartbeat, struct ow_peer_message *message)
{
    message->sender = g_strdup(heartbeat->sender);
    message->incarnation = heartbeat->incarnation;
    message->sequence = heartbeat->sequence;
    message->digest = heartbeat->digest;
    for (u_int i = 0; i < heartbeat->shards.shards_len; i++) {
        const peer_led_shard *entry = &heartbeat->shards.shards_val[i];
        struct ow_peer_shard shard = {entry->name, entry->fencing_token, entry->serving, entry->machines};
        ow_peer_shards_add(message->shards, &shard);
    }
}

/* A step that is not known stays beyond those that are. */
static void read_probe(const peer_probe *probe, struct ow_peer_message *message)
{
    message->sender = g_strdup(probe->sender);
    message->step = probe->step < OW_PROBE_STEPS ? (enum ow_probe_step)probe->step : OW_PROBE_STEPS;
    message->origin = g_strdup(probe->origin);
    message->relay = g_strdup(probe->relay);
    message->target = g_strdup(probe->target);
    message->number = probe->number;
}

struct ow_peer_message *wire_peer_body_read(unsigned kind, const union wire_peer_body *body)
{
    struct ow_peer_message *message = ow_peer_message_new((enum ow_peer_kind)kind);
    switch (message->kind) {
    case OW_PEER_HELLO:
        message->sender = g_strdup(body->hello.sender);
        message->number = body->hello.fencing_token;
        message->leads = body->hello.leads;
        message->store_ok = body->hello.store_ok;
        message->receives_heartbeats = body->hello.receives_heartbeats;
        break;
    case OW_PEER_SUMMARY:
        read_summary(&body->summary, message);
        break;
    case OW_PEER_JOB_CHANGED:
        message->number = body->job_changed.revision;
        break;
    case OW_PEER_MACHINES:
        message->number = body->machines.fencing_token;
        read_machines(body->machines.machines.machines_val, body->machines.machines.machines_len, message);
        break;
    case OW_PEER_MACHINES_PART:
        read_machines_part(&body->machines_part, message);
        break;
    case OW_PEER_CANCELLATION:
        g_strlcpy(message->job, body->cancellation.job, sizeof message->job);
        message->revision = body->cancellation.revision;
        message->number = body->cancellation.fencing_token;
        break;
    case OW_PEER_CANCELLATION_ACK:
        g_strlcpy(message->job, body->cancellation_ack.job, sizeof message->job);
        message->revision = body->cancellation_ack.revision;
        message->number = body->cancellation_ack.fencing_token;
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
