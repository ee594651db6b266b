#include "sharding/failover_log.h"

/* Maximum number of steps that are kept. */
enum { STEPS_MAX = 16 };

static void clear_step(void *item)
{
    struct ow_failover_step *step = item;
    g_free(step->cause);
}

/* Takes ownership of `cause`. */
/* NOLINTNEXTLINE(readability-non-const-parameter): it is freed later */
static void add_step(struct ow_failover_log *log, enum ow_failover_phase phase, double now, char *cause)
{
    struct ow_failover_step step = {.phase = phase, .began_at = now, .cause = cause};
    if (log->steps->len == STEPS_MAX)
        g_array_remove_index(log->steps, 0);
    g_array_append_val(log->steps, step);
}

void ow_failover_log_init(struct ow_failover_log *log)
{
    *log = (struct ow_failover_log){.steps = g_array_new(FALSE, FALSE, sizeof(struct ow_failover_step))};
    g_array_set_clear_func(log->steps, clear_step);
    add_step(log, OW_FAILOVER_UNKNOWN, 0, g_strdup("the controller starts"));
}

void ow_failover_log_clear(struct ow_failover_log *log)
{
    g_array_free(log->steps, TRUE);
    g_free(log->leader);
}

const struct ow_failover_step *ow_failover_log_last(const struct ow_failover_log *log)
{
    return &g_array_index(log->steps, struct ow_failover_step, log->steps->len - 1);
}

const char *ow_failover_phase_name(enum ow_failover_phase phase)
{
    static const char *const names[] = {
        [OW_FAILOVER_UNKNOWN] = "unknown",
        [OW_FAILOVER_LED_ELSEWHERE] = "led elsewhere",
        [OW_FAILOVER_SUSPECTED] = "leader suspected",
        [OW_FAILOVER_LEASE_EXPIRED] = "lease gone",
        [OW_FAILOVER_KEY_TAKEN] = "taken over",
        [OW_FAILOVER_RECORDS_READ] = "records read",
        [OW_FAILOVER_SERVING] = "serving",
    };
    return names[phase];
}

/* ---- the phase, derived from the observation ---- */

static enum ow_failover_phase phase_of_leader(const struct ow_failover_observation *observation)
{
    if (!observation->are_records_read)
        return OW_FAILOVER_KEY_TAKEN;
    bool are_all_fenced = observation->fenced == observation->machines;
    return observation->is_settled && are_all_fenced ? OW_FAILOVER_SERVING : OW_FAILOVER_RECORDS_READ;
}

static enum ow_failover_phase phase_of(const struct ow_failover_observation *observation)
{
    const struct ow_member *leader = observation->leader;
    if (observation->fencing_token != 0)
        return phase_of_leader(observation);
    if (observation->leader_name == NULL)
        return observation->is_key_missing ? OW_FAILOVER_LEASE_EXPIRED : OW_FAILOVER_UNKNOWN;
    bool is_suspected = leader != NULL && leader->state == OW_MEMBER_SUSPECTED;
    return is_suspected ? OW_FAILOVER_SUSPECTED : OW_FAILOVER_LED_ELSEWHERE;
}

/* The cause of the phase, for operators (g_free). */
static char *describe_cause(const struct ow_failover_log *log, enum ow_failover_phase phase,
                            const struct ow_failover_observation *observation)
{
    switch (phase) {
    case OW_FAILOVER_UNKNOWN:
        return g_strdup("the leader's key is being read");
    case OW_FAILOVER_LED_ELSEWHERE:
        return g_strdup_printf("%s leads", observation->leader_name);
    case OW_FAILOVER_SUSPECTED:
        return g_strdup_printf("%s: %s", observation->leader_name, observation->leader->cause);
    case OW_FAILOVER_LEASE_EXPIRED:
        return log->leader != NULL
                   ? g_strdup_printf("the state service has removed the key of %s", log->leader)
                   : g_strdup("nobody has led it yet, as far as this controller knows");
    case OW_FAILOVER_KEY_TAKEN:
        return g_strdup_printf("token %" G_GUINT64_FORMAT " committed, led by %s before",
                               observation->fencing_token, log->leader != NULL ? log->leader : "nobody");
    case OW_FAILOVER_RECORDS_READ:
        return g_strdup_printf("%u of %u machines fenced", observation->fenced, observation->machines);
    case OW_FAILOVER_SERVING:
        break;
    }
    return g_strdup_printf("all of %u machines fenced", observation->machines);
}

/* ---- updates ---- */

/* A machine that joins while this controller serves the shard does not reset the phase to RECORDS_READ. */
static bool is_new_machine_while_serving(const struct ow_failover_log *log,
                                         const struct ow_failover_observation *observation,
                                         enum ow_failover_phase phase)
{
    return phase == OW_FAILOVER_RECORDS_READ && log->fencing_token == observation->fencing_token &&
           ow_failover_log_last(log)->phase == OW_FAILOVER_SERVING;
}

/* Records when the loss of the leader was detected, and clears it when the failover has ended. */
static void track_loss_detection(struct ow_failover_log *log, enum ow_failover_phase phase, double now)
{
    bool is_leader_lost = phase == OW_FAILOVER_SUSPECTED || phase == OW_FAILOVER_LEASE_EXPIRED;
    if (is_leader_lost && log->loss_detected_at <= 0)
        log->loss_detected_at = now;
    else if (phase == OW_FAILOVER_SERVING || phase == OW_FAILOVER_LED_ELSEWHERE)
        log->loss_detected_at = 0;
}

static void enter_phase(struct ow_failover_log *log, const char *shard, enum ow_failover_phase phase,
                        const struct ow_failover_observation *observation, double now)
{
    char *cause = describe_cause(log, phase, observation);
    double duration_s = log->loss_detected_at > 0 ? now - log->loss_detected_at : 0;
    g_info("failover phase entered: shard=%s phase=\"%s\" fencing_token=%" G_GUINT64_FORMAT
           " duration_s=%.2f reason=\"%s\"",
           shard, ow_failover_phase_name(phase), observation->fencing_token, duration_s, cause);
    add_step(log, phase, now, cause);
    track_loss_detection(log, phase, now);
}

/* The time was not known when the log was initialized. */
static void set_time_of_first_step(struct ow_failover_log *log, double now)
{
    struct ow_failover_step *first = &g_array_index(log->steps, struct ow_failover_step, 0);
    if (first->began_at <= 0)
        first->began_at = now;
}

void ow_failover_log_update(struct ow_failover_log *log, const char *shard,
                            const struct ow_failover_observation *observation, double now)
{
    enum ow_failover_phase phase = phase_of(observation);
    uint64_t token = observation->fencing_token;
    const char *leader = token != 0 ? observation->self : observation->leader_name;
    bool is_new_leader = leader != NULL && g_strcmp0(leader, log->leader) != 0;
    bool is_new_term = token != 0 && token != log->fencing_token;
    bool is_new_phase = phase != ow_failover_log_last(log)->phase;
    set_time_of_first_step(log, now);
    if ((is_new_phase || is_new_leader || is_new_term) &&
        !is_new_machine_while_serving(log, observation, phase))
        enter_phase(log, shard, phase, observation, now);
    if (is_new_leader) {
        g_free(log->leader);
        log->leader = g_strdup(leader);
    }
    log->fencing_token = token;
}

char *ow_failover_log_waiting_reason(const struct ow_failover_log *log, const char *shard)
{
    const char *reason = NULL;
    switch (ow_failover_log_last(log)->phase) {
    case OW_FAILOVER_SUSPECTED:
        reason = "its controller does not answer";
        break;
    case OW_FAILOVER_LEASE_EXPIRED:
        reason = "a new controller is being elected";
        break;
    case OW_FAILOVER_KEY_TAKEN:
        reason = "the new controller reads the records";
        break;
    default:
        return NULL;
    }
    return g_strdup_printf("waits for the handover of shard %s: %s", shard, reason);
}
