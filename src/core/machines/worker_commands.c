/* Commands to workers: launches whose record has committed, and stops. */
#include "core/machines/worker_commands.h"
#include "core/election/election.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/reports.h"
#include "core/run.h"

enum { COMMANDS_MAX = 400 };
static const double DIRECT_PAUSE_S = 3, UNSENT_PAUSE_S = 0.5;

static void add_command(GArray *commands, enum ow_worker_command_kind kind, const struct ow_attempt *at)
{
    struct ow_worker_command command = {
        .kind = kind, .task = at->task, .attempt = at->number, .grace_s = at->stop_grace_s};
    g_strlcpy(command.job, at->job->id, sizeof command.job);
    g_array_append_val(commands, command);
}

static void add_attempt_command(struct ow_attempt *at, GArray *commands, GArray *starts)
{
    /* Rule 1: no launch leaves before the record that names its attempt and machine has committed: there is
       none for what is only planned. */
    if (at->state == OW_ATTEMPT_COMMITTED || at->state == OW_ATTEMPT_SENT) {
        /* Also for a task no longer wanted whose launch may be in flight: launched and stopped in one
           go it is known to the worker as ended, and the late launch finds it there. */
        add_command(commands, OW_WORKER_LAUNCH, at);
        struct ow_unacknowledged_launch f = {at->job, at->task, at->number};
        if (starts != NULL)
            g_array_append_val(starts, f);
        at->state = OW_ATTEMPT_SENT;
    }
    if (at->stop)
        add_command(commands, OW_WORKER_STOP, at);
}

GArray *ow_worker_commands_for(struct ow_leader *leader, struct ow_machine *m, GArray *starts)
{
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    (void)leader;
    for (guint i = 0; i < m->attempts->len && commands->len < COMMANDS_MAX; i++) {
        struct ow_attempt *at = g_ptr_array_index(m->attempts, i);
        /* A new session has forgotten the tasks of the old one; it must not be given them again. */
        if (at->session == m->session && (at->state != OW_ATTEMPT_SEEN || at->stop))
            add_attempt_command(at, commands, starts);
    }
    return commands;
}

/* To whom a command went, and when. */
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

static void take_direct_answer(struct ow_leader *leader, struct ow_machine *m, const struct ow_event *answer)
{
    g_array_set_size(m->direct_launches, 0);
    m->unanswered_since = 0;
    if (answer->report != NULL)
        ow_reports_receive(leader, answer->report, NULL);
    if (answer->status == 409)
        m->direct_at = leader->controller->now + 0.5;
}

static void on_direct(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const struct direct *d = data;
    struct ow_machine *m = ow_machines_find(leader, d->machine);
    if (m == NULL)
        return;
    if (answer->report != NULL && answer->report->token > leader->token) {
        ow_election_observe_token(leader->controller->election, answer->report->token, NULL);
        return; /* and with that the leader is gone */
    }
    m->direct_busy = false;
    if (answer->status == OW_STATUS_UNSENT) {
        /* Nothing left us, so no launch is unacknowledged, and the machine's connection was not tried. */
        g_array_set_size(m->direct_launches, 0);
        m->direct_wanted = true;
        m->direct_at = leader->controller->now + UNSENT_PAUSE_S;
        return;
    }
    if (answer->status == 200 || answer->status == 409) {
        take_direct_answer(leader, m, answer);
        return;
    }
    /* No answer: these launches may be carried out minutes later, for as long as the session lasts. */
    g_array_append_vals(m->unacknowledged_launches, m->direct_launches->data, m->direct_launches->len);
    g_array_set_size(m->direct_launches, 0);
    m->direct_at = leader->controller->now + DIRECT_PAUSE_S;
    if (m->unanswered_since == 0) {
        g_info("machine %s does not answer", m->name);
        m->unanswered_since = d->sent_at;
    }
}

static void send_direct(struct ow_leader *leader, struct ow_machine *m)
{
    struct ow_effect *e = ow_effect_new(OW_EFFECT_DIRECT, 0);
    struct direct *d = g_new0(struct direct, 1);
    *d = (struct direct){g_strdup(m->name), leader->controller->now};
    m->direct_wanted = false;
    m->direct_busy = true;
    e->commands = ow_worker_commands_for(leader, m, m->direct_launches);
    e->text = g_strdup(m->addr);
    e->token = leader->token;
    e->session = MAX(m->session, 1);
    e->request = ow_pending_calls_add(leader->controller->pending_calls, on_direct, leader, d, direct_free);
    ow_controller_emit(leader->controller, e);
}

void ow_worker_commands_send(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(leader->machines, i);
        if (m->direct_wanted && !m->direct_busy && m->addr != NULL && leader->controller->now >= m->direct_at)
            send_direct(leader, m);
    }
}
