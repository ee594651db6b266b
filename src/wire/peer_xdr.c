#include "wire/peer_xdr.h"

#include "peer.h" /* made by rpcgen from peer.x */

#include <arpa/inet.h>
#include <string.h>

/* The body of a message: one of these, by its kind. */
union body {
    peer_hello hello;
    peer_summary summary;
    peer_job_changed job_changed;
    peer_machines machines;
    peer_cancellation cancellation;
    peer_cancellation_ack cancellation_ack;
};

static xdrproc_t body_coder(unsigned kind)
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
    case PEER_CANCELLATION:
        return (xdrproc_t)xdr_peer_cancellation;
    case PEER_CANCELLATION_ACK:
        return (xdrproc_t)xdr_peer_cancellation_ack;
    default:
        return NULL;
    }
}

static void fill_summary(const struct ow_peer_message *m, peer_summary *s)
{
    guint count = MIN(m->jobs->len, PEER_JOBS_MAX);
    s->token = m->number;
    s->jobs.jobs_len = count;
    s->jobs.jobs_val = g_new0(peer_job, count);
    for (guint i = 0; i < count; i++) {
        struct ow_peer_job *job = &g_array_index(m->jobs, struct ow_peer_job, i);
        static char none[] = "";
        s->jobs.jobs_val[i] =
            (peer_job){job->id, job->done, job->running, job->reason != NULL ? job->reason : none};
    }
}

static void fill_machines(const struct ow_peer_message *m, peer_machines *p)
{
    guint count = MIN(m->machines->len, PEER_MACHINES_MAX);
    p->token = m->number;
    p->machines.machines_len = count;
    p->machines.machines_val = g_new0(peer_machine, count);
    for (guint i = 0; i < count; i++) {
        struct ow_peer_machine *h = &g_array_index(m->machines, struct ow_peer_machine, i);
        p->machines.machines_val[i] = (peer_machine){h->name, h->addr, h->type, h->zone, h->spot};
    }
}

/* Answers with a list that the caller frees, or NULL. */
static void *fill_body(struct ow_peer_message *m, union body *b)
{
    switch (m->kind) {
    case OW_PEER_HELLO:
        b->hello = (peer_hello){m->sender, m->number, m->leads, m->state_ok, m->receives_reports};
        return NULL;
    case OW_PEER_SUMMARY:
        fill_summary(m, &b->summary);
        return b->summary.jobs.jobs_val;
    case OW_PEER_JOB_CHANGED:
        b->job_changed.revision = m->number;
        return NULL;
    case OW_PEER_MACHINES:
        fill_machines(m, &b->machines);
        return b->machines.machines.machines_val;
    case OW_PEER_CANCELLATION:
        b->cancellation = (peer_cancellation){m->job, m->revision, m->number};
        return NULL;
    case OW_PEER_CANCELLATION_ACK:
        b->cancellation_ack = (peer_cancellation_ack){m->job, m->revision, m->number};
        return NULL;
    case OW_PEER_LINK_LOST:
        return NULL;
    }
    return NULL;
}

/* Encodes into a new buffer; NULL if it does not fit. */
static char *encode(xdrproc_t coder, void *value, uint32_t *size)
{
    char *buffer = g_malloc(WIRE_PEER_MAX);
    XDR xdr;
    xdrmem_create(&xdr, buffer, WIRE_PEER_MAX, XDR_ENCODE);
    bool ok = coder(&xdr, value, 0);
    *size = ok ? xdr_getpos(&xdr) : 0;
    xdr_destroy(&xdr);
    if (!ok)
        g_clear_pointer(&buffer, g_free);
    return buffer;
}

bool wire_peer_encode(struct ow_peer_message *m, GString *out)
{
    union body b;
    uint32_t size = 0;
    memset(&b, 0, sizeof b);
    xdrproc_t coder = body_coder(m->kind);
    if (coder == NULL)
        return false;
    void *list = fill_body(m, &b);
    char *body = encode(coder, &b, &size), *whole = NULL;
    if (body != NULL) {
        peer_envelope envelope = {PEER_VERSION, (u_int)m->kind, {size, body}};
        whole = encode((xdrproc_t)xdr_peer_envelope, &envelope, &size);
    }
    if (whole != NULL) {
        uint32_t frame = htonl(size);
        g_string_append_len(out, (const char *)&frame, sizeof frame);
        g_string_append_len(out, whole, size);
    }
    bool ok = whole != NULL;
    g_free(whole);
    g_free(body);
    g_free(list);
    return ok;
}

static void read_summary(const peer_summary *s, struct ow_peer_message *m)
{
    m->number = s->token;
    for (u_int i = 0; i < s->jobs.jobs_len; i++) {
        const peer_job *x = &s->jobs.jobs_val[i];
        struct ow_peer_job job = {.done = x->done, .running = x->running, .reason = g_strdup(x->reason)};
        g_strlcpy(job.id, x->id, sizeof job.id);
        g_array_append_val(m->jobs, job);
    }
}

static void read_machines(const peer_machines *p, struct ow_peer_message *m)
{
    m->number = p->token;
    for (u_int i = 0; i < p->machines.machines_len; i++) {
        const peer_machine *x = &p->machines.machines_val[i];
        struct ow_peer_machine h = {g_strdup(x->name), g_strdup(x->addr), g_strdup(x->type),
                                    g_strdup(x->zone), x->spot};
        g_array_append_val(m->machines, h);
    }
}

static struct ow_peer_message *read_body(unsigned kind, const union body *b)
{
    struct ow_peer_message *m = ow_peer_message_new((enum ow_peer_kind)kind);
    switch (m->kind) {
    case OW_PEER_HELLO:
        m->sender = g_strdup(b->hello.sender);
        m->number = b->hello.token;
        m->leads = b->hello.leads;
        m->state_ok = b->hello.state_ok;
        m->receives_reports = b->hello.receives_reports;
        break;
    case OW_PEER_SUMMARY:
        read_summary(&b->summary, m);
        break;
    case OW_PEER_JOB_CHANGED:
        m->number = b->job_changed.revision;
        break;
    case OW_PEER_MACHINES:
        read_machines(&b->machines, m);
        break;
    case OW_PEER_CANCELLATION:
        g_strlcpy(m->job, b->cancellation.job, sizeof m->job);
        m->revision = b->cancellation.revision;
        m->number = b->cancellation.token;
        break;
    case OW_PEER_CANCELLATION_ACK:
        g_strlcpy(m->job, b->cancellation_ack.job, sizeof m->job);
        m->revision = b->cancellation_ack.revision;
        m->number = b->cancellation_ack.token;
        break;
    case OW_PEER_LINK_LOST:
        break;
    }
    return m;
}

/* What comes behind the fields that we know is a later version's and is left alone. */
static bool decode(xdrproc_t coder, const char *data, size_t size, void *value)
{
    XDR xdr;
    xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
    bool ok = coder(&xdr, value, 0);
    xdr_destroy(&xdr);
    return ok;
}

bool wire_peer_decode(const char *data, size_t size, struct ow_peer_message **message)
{
    peer_envelope envelope;
    union body b;
    memset(&envelope, 0, sizeof envelope);
    memset(&b, 0, sizeof b);
    *message = NULL;
    bool ok = decode((xdrproc_t)xdr_peer_envelope, data, size, &envelope);
    xdrproc_t coder = ok ? body_coder(envelope.kind) : NULL;
    if (coder != NULL) {
        ok = decode(coder, envelope.body.body_val, envelope.body.body_len, &b);
        if (ok) {
            *message = read_body(envelope.kind, &b);
            (*message)->version = envelope.format;
        }
        xdr_free(coder, (char *)&b);
    }
    xdr_free((xdrproc_t)xdr_peer_envelope, (char *)&envelope);
    return ok;
}
