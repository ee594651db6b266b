#include "wire/peer_xdr.h"

#include "peer.h" /* made by rpcgen from peer.x */

#include <arpa/inet.h>
#include <string.h>

static void fill_hello(const struct ow_peer_message *m, peer_message *x)
{
    peer_hello *h = &x->peer_message_u.hello;
    h->node = m->node;
    h->token = m->number;
    h->leads = m->leads;
    h->state_ok = m->state_ok;
    h->hears_workers = m->hears_workers;
}

static void fill_summary(const struct ow_peer_message *m, peer_message *x)
{
    peer_summary *s = &x->peer_message_u.summary;
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

static void fill_machines(const struct ow_peer_message *m, peer_message *x)
{
    peer_machines *p = &x->peer_message_u.machines;
    guint count = MIN(m->machines->len, PEER_MACHINES_MAX);
    p->token = m->number;
    p->machines.machines_len = count;
    p->machines.machines_val = g_new0(peer_machine, count);
    for (guint i = 0; i < count; i++) {
        struct ow_peer_machine *h = &g_array_index(m->machines, struct ow_peer_machine, i);
        p->machines.machines_val[i] = (peer_machine){h->name, h->addr, h->type, h->zone, h->spot};
    }
}

bool wire_peer_encode(const struct ow_peer_message *m, GString *out)
{
    peer_message x = {.kind = (peer_kind)m->kind};
    void *list = NULL;
    if (m->kind == OW_PEER_HELLO) {
        fill_hello(m, &x);
    } else if (m->kind == OW_PEER_SUMMARY) {
        fill_summary(m, &x);
        list = x.peer_message_u.summary.jobs.jobs_val;
    } else if (m->kind == OW_PEER_NUDGE) {
        x.peer_message_u.nudge.revision = m->number;
    } else {
        fill_machines(m, &x);
        list = x.peer_message_u.machines.machines.machines_val;
    }
    char *buffer = g_malloc(WIRE_PEER_MAX);
    XDR xdr;
    xdrmem_create(&xdr, buffer, WIRE_PEER_MAX, XDR_ENCODE);
    bool ok = xdr_peer_message(&xdr, &x);
    uint32_t size = ok ? xdr_getpos(&xdr) : 0;
    xdr_destroy(&xdr);
    if (ok) {
        uint32_t frame = htonl(size);
        g_string_append_len(out, (const char *)&frame, sizeof frame);
        g_string_append_len(out, buffer, size);
    }
    g_free(buffer);
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

static struct ow_peer_message *read_message(const peer_message *x)
{
    struct ow_peer_message *m = ow_peer_message_new((int)x->kind);
    if (x->kind == PEER_HELLO) {
        m->node = g_strdup(x->peer_message_u.hello.node);
        m->number = x->peer_message_u.hello.token;
        m->leads = x->peer_message_u.hello.leads;
        m->state_ok = x->peer_message_u.hello.state_ok;
        m->hears_workers = x->peer_message_u.hello.hears_workers;
    } else if (x->kind == PEER_SUMMARY) {
        read_summary(&x->peer_message_u.summary, m);
    } else if (x->kind == PEER_NUDGE) {
        m->number = x->peer_message_u.nudge.revision;
    } else {
        read_machines(&x->peer_message_u.machines, m);
    }
    return m;
}

struct ow_peer_message *wire_peer_decode(const char *data, size_t size)
{
    peer_message x;
    XDR xdr;
    memset(&x, 0, sizeof x);
    xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
    struct ow_peer_message *m = xdr_peer_message(&xdr, &x) ? read_message(&x) : NULL;
    xdr_destroy(&xdr);
    xdr_free((xdrproc_t)xdr_peer_message, (char *)&x);
    return m;
}
