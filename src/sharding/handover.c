#include "sharding/handover.h"

/* Steps that are kept. */
enum { STEPS_MAX = 16 };

static void step_clear(void *item)
{
    g_free(((struct ow_handover_step *)item)->cause);
}

/* Takes over `cause`. */
static void add_step(struct ow_handover *handover, enum ow_handover_phase phase, double now, char *cause)
{
    struct ow_handover_step step = {phase, now, cause};
    if (handover->steps->len == STEPS_MAX)
        g_array_remove_index(handover->steps, 0);
    g_array_append_val(handover->steps, step);
}

void ow_handover_init(struct ow_handover *handover, double now)
{
    *handover = (struct ow_handover){.steps = g_array_new(FALSE, FALSE, sizeof(struct ow_handover_step))};
    g_array_set_clear_func(handover->steps, step_clear);
    add_step(handover, OW_HANDOVER_UNKNOWN, now, g_strdup("the controller starts"));
}

void ow_handover_clear(struct ow_handover *handover)
{
    g_array_free(handover->steps, TRUE);
    g_free(handover->leader);
}

const struct ow_handover_step *ow_handover_last(const struct ow_handover *handover)
{
    return &g_array_index(handover->steps, struct ow_handover_step, handover->steps->len - 1);
}

const char *ow_handover_phase_name(enum ow_handover_phase phase)
{
    static const char *const names[] = {"unknown",    "led elsewhere", "leader suspected", "lease gone",
                                        "taken over", "records read",  "serving"};
    return names[phase];
}

static enum ow_handover_phase phase_of(const struct ow_handover_view *view)
{
    if (view->fencing_token != 0) {
        if (!view->records_read)
            return OW_HANDOVER_KEY_TAKEN;
        return view->settled && view->fenced == view->machines ? OW_HANDOVER_SERVING : OW_HANDOVER_RECORDS;
    }
    if (view->leader_name != NULL) {
        bool suspected = view->leader != NULL && view->leader->state == OW_MEMBER_SUSPECTED;
        return suspected ? OW_HANDOVER_SUSPECTED : OW_HANDOVER_ELSEWHERE;
    }
    return view->key_missing ? OW_HANDOVER_LEASE_EXPIRED : OW_HANDOVER_UNKNOWN;
}

/* Why the phase is what it is (g_free). */
static char *cause_of(const struct ow_handover *handover, enum ow_handover_phase phase,
                      const struct ow_handover_view *view)
{
    const char *from = handover->leader != NULL ? handover->leader : "nobody";
    bool was_led = handover->leader != NULL;
    switch (phase) {
    case OW_HANDOVER_UNKNOWN:
        return g_strdup("the leader's key is being read");
    case OW_HANDOVER_ELSEWHERE:
        return g_strdup_printf("%s leads", view->leader_name);
    case OW_HANDOVER_SUSPECTED:
        return g_strdup_printf("%s: %s", view->leader_name, view->leader->cause);
    case OW_HANDOVER_LEASE_EXPIRED:
        return was_led ? g_strdup_printf("the state service has removed the key of %s", from)
                       : g_strdup("nobody has led it yet, as far as this controller knows");
    case OW_HANDOVER_KEY_TAKEN:
        return g_strdup_printf("token %" G_GUINT64_FORMAT " committed, led by %s before", view->fencing_token,
                               from);
    case OW_HANDOVER_RECORDS:
        return g_strdup_printf("%u of %u machines fenced", view->fenced, view->machines);
    case OW_HANDOVER_SERVING:
        break;
    }
    return g_strdup_printf("all of %u machines fenced", view->machines);
}

/* Whether machines that come later make no new phase of a shard that already serves. */
static bool is_settled(const struct ow_handover *handover, const struct ow_handover_view *view,
                       enum ow_handover_phase phase)
{
    return phase == OW_HANDOVER_RECORDS && handover->fencing_token == view->fencing_token &&
           ow_handover_last(handover)->phase == OW_HANDOVER_SERVING;
}

static void note_fault(struct ow_handover *handover, enum ow_handover_phase phase, double now)
{
    bool leaderless = phase == OW_HANDOVER_SUSPECTED || phase == OW_HANDOVER_LEASE_EXPIRED;
    if (leaderless && handover->fault_at <= 0)
        handover->fault_at = now;
    else if (phase == OW_HANDOVER_SERVING || phase == OW_HANDOVER_ELSEWHERE)
        handover->fault_at = 0;
}

void ow_handover_update(struct ow_handover *handover, const char *shard, const struct ow_handover_view *view,
                        double now)
{
    enum ow_handover_phase phase = phase_of(view);
    const char *leader = view->fencing_token != 0 ? view->self : view->leader_name;
    bool new_leader = leader != NULL && g_strcmp0(leader, handover->leader) != 0;
    bool new_term = view->fencing_token != 0 && view->fencing_token != handover->fencing_token;
    struct ow_handover_step *first = &g_array_index(handover->steps, struct ow_handover_step, 0);
    if (first->at <= 0)
        first->at = now; /* the clock was not known when the shard was made */
    if ((phase != ow_handover_last(handover)->phase || new_leader || new_term) &&
        !is_settled(handover, view, phase)) {
        char *cause = cause_of(handover, phase, view);
        double after_s = handover->fault_at > 0 ? now - handover->fault_at : 0;
        g_info("shard %s: %s, %.2f s after the first sign: %s", shard, ow_handover_phase_name(phase), after_s,
               cause);
        add_step(handover, phase, now, cause);
        note_fault(handover, phase, now);
    }
    if (new_leader) {
        g_free(handover->leader);
        handover->leader = g_strdup(leader);
    }
    handover->fencing_token = view->fencing_token;
}

char *ow_handover_reason(const struct ow_handover *handover, const char *shard)
{
    const struct ow_handover_step *last = ow_handover_last(handover);
    const char *what = NULL;
    if (last->phase == OW_HANDOVER_SUSPECTED)
        what = "its controller does not answer";
    else if (last->phase == OW_HANDOVER_LEASE_EXPIRED)
        what = "a new controller is being elected";
    else if (last->phase == OW_HANDOVER_KEY_TAKEN)
        what = "the new controller reads the records";
    if (what == NULL)
        return NULL;
    return g_strdup_printf("waits for the handover of shard %s: %s", shard, what);
}
