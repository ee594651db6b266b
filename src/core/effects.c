#include "core/effects.h"

static void peer_job_clear(void *item)
{
    g_free(((struct ow_peer_job *)item)->reason);
}

static void peer_machine_clear(void *item)
{
    struct ow_peer_machine *m = item;
    g_free(m->name);
    g_free(m->addr);
    g_free(m->type);
    g_free(m->zone);
}

GArray *ow_peer_machines_new(void)
{
    GArray *machines = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_machine));
    g_array_set_clear_func(machines, peer_machine_clear);
    return machines;
}

struct ow_peer_message *ow_peer_message_new(enum ow_peer_kind kind)
{
    struct ow_peer_message *m = g_new0(struct ow_peer_message, 1);
    m->kind = kind;
    if (kind == OW_PEER_SUMMARY) {
        m->jobs = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_job));
        g_array_set_clear_func(m->jobs, peer_job_clear);
    } else if (kind == OW_PEER_MACHINES || kind == OW_PEER_MACHINES_PART) {
        m->machines = ow_peer_machines_new();
    }
    return m;
}

void ow_peer_message_free(struct ow_peer_message *m)
{
    if (m == NULL)
        return;
    g_free(m->sender);
    if (m->jobs != NULL)
        g_array_free(m->jobs, TRUE);
    if (m->machines != NULL)
        g_array_free(m->machines, TRUE);
    g_free(m);
}

void ow_cloud_request_free(struct ow_cloud_request *r)
{
    if (r == NULL)
        return;
    g_free(r->after);
    g_free(r->name);
    g_free(r->type);
    g_free(r->zone);
    if (r->machines != NULL)
        g_ptr_array_free(r->machines, TRUE);
    g_free(r);
}

void ow_cloud_reply_clear(struct ow_cloud_reply *reply)
{
    if (reply->types != NULL)
        g_array_free(reply->types, TRUE);
    if (reply->listed != NULL)
        g_array_free(reply->listed, TRUE);
    g_strfreev(reply->rented);
}

void ow_effect_free(void *effect)
{
    struct ow_effect *e = effect;
    g_free(e->text);
    if (e->commands != NULL)
        g_array_free(e->commands, TRUE);
    if (e->teams != NULL)
        g_array_free(e->teams, TRUE);
    ow_store_request_free(e->store);
    ow_cloud_request_free(e->cloud);
    ow_peer_message_free(e->peer);
    g_free(e);
}

void ow_event_free(void *event)
{
    struct ow_event *c = event;
    ow_report_free(c->report);
    ow_submission_free(c->submission);
    ow_store_reply_clear(&c->store);
    ow_cloud_reply_clear(&c->cloud);
    ow_peer_message_free(c->peer);
    g_free(c);
}
