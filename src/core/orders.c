/* What workers are told: launches whose record has committed, and stops. */
#include "core/election.h"
#include "core/lead_state.h"

enum { ORDERS_MAX = 400 };
static const double DIRECT_PAUSE_S = 3, UNSENT_PAUSE_S = 0.5;

static void add_order(GArray *orders, enum ow_op op, const struct ow_attempt *at)
{
    struct ow_order order = {.op = op, .task = at->task, .attempt = at->number, .grace_s = at->stop_grace_s};
    g_strlcpy(order.job, at->job->id, sizeof order.job);
    g_array_append_val(orders, order);
}

static void order_attempt(struct ow_attempt *at, GArray *orders, GArray *starts)
{
    /* Rule 1: no launch leaves before the record that names its attempt and machine has committed: there is
       none for what is only planned. */
    if (at->state == OW_AT_COMMITTED || at->state == OW_AT_SENT) {
        /* Also for a task no longer wanted whose launch may be in flight: launched and stopped in one
           go it is known to the worker as ended, and the late launch finds it there. */
        add_order(orders, OW_START, at);
        struct ow_floating f = {at->job, at->task, at->number};
        if (starts != NULL)
            g_array_append_val(starts, f);
        at->state = OW_AT_SENT;
    }
    if (at->stop)
        add_order(orders, OW_STOP, at);
}

GArray *ow_orders_for(struct ow_lead *lead, struct ow_machine *m, GArray *starts)
{
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct ow_order));
    (void)lead;
    for (guint i = 0; i < m->attempts->len && orders->len < ORDERS_MAX; i++) {
        struct ow_attempt *at = g_ptr_array_index(m->attempts, i);
        /* A new session has forgotten the tasks of the old one; it must not be given them again. */
        if (at->session == m->session && (at->state != OW_AT_SEEN || at->stop))
            order_attempt(at, orders, starts);
    }
    return orders;
}

/* To whom an order went, and when. */
struct direct {
    char *machine;
    double sent_at;
};

static void direct_free(void *data)
{
    struct direct *d = data;
    g_free(d->machine);
    g_free(d);
}

static void take_direct_answer(struct ow_lead *lead, struct ow_machine *m, const struct ow_command *answer)
{
    g_array_set_size(m->direct_starts, 0);
    m->unheard_since = 0;
    if (answer->report != NULL)
        ow_reports_take(lead, answer->report, NULL);
    if (answer->status == 409)
        m->direct_at = lead->node->now + 0.5;
}

static void on_direct(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_lead *lead = owner;
    const struct direct *d = data;
    struct ow_machine *m = ow_book_find(lead, d->machine);
    if (m == NULL)
        return;
    if (answer->report != NULL && answer->report->token > lead->token) {
        ow_election_saw_token(lead->node->election, answer->report->token, NULL);
        return; /* and with that the coordinator is gone */
    }
    m->direct_busy = false;
    if (answer->status == OW_STATUS_UNSENT) {
        /* Nothing left us, so nothing floats, and the machine's hearing was not tried. */
        g_array_set_size(m->direct_starts, 0);
        m->direct_wanted = true;
        m->direct_at = lead->node->now + UNSENT_PAUSE_S;
        return;
    }
    if (answer->status == 200 || answer->status == 409) {
        take_direct_answer(lead, m, answer);
        return;
    }
    /* No answer: these launches may be carried out minutes later, for as long as the session lasts. */
    g_array_append_vals(m->floating, m->direct_starts->data, m->direct_starts->len);
    g_array_set_size(m->direct_starts, 0);
    m->direct_at = lead->node->now + DIRECT_PAUSE_S;
    if (m->unheard_since == 0) {
        g_info("machine %s does not answer", m->name);
        m->unheard_since = d->sent_at;
    }
}

static void send_direct(struct ow_lead *lead, struct ow_machine *m)
{
    struct ow_effect *e = ow_effect_new(OW_EFFECT_DIRECT, 0);
    struct direct *d = g_new0(struct direct, 1);
    *d = (struct direct){g_strdup(m->name), lead->node->now};
    m->direct_wanted = false;
    m->direct_busy = true;
    e->orders = ow_orders_for(lead, m, m->direct_starts);
    e->text = g_strdup(m->addr);
    e->token = lead->token;
    e->session = MAX(m->session, 1);
    e->request = ow_calls_add(lead->node->calls, on_direct, lead, d, direct_free);
    ow_node_emit(lead->node, e);
}

void ow_orders_send(struct ow_lead *lead)
{
    for (guint i = 0; i < lead->machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(lead->machines, i);
        if (m->direct_wanted && !m->direct_busy && m->addr != NULL && lead->node->now >= m->direct_at)
            send_direct(lead, m);
    }
}
