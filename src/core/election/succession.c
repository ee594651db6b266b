#include "core/election/succession.h"

#include "core/core_state.h"
#include "core/election/election_state.h"
#include "core/jobs/job_cache.h"
#include "core/peers/peer_status.h"
#include "core/store_health.h"
#include "model/records.h"
#include "util/clock_drift.h"

/* Safety margin beyond clock drift, for messages in flight and for a worker's last heartbeat. */
static const double DELIVERY_MARGIN_S = 3;
/* Lower bound, in lease durations, of the time that a leader tolerates an unresponsive store, however short
   `cancel_s` is. */
static const double MIN_SILENCE_LEASES = 2;
/* A hint (a lost link) does not replace a leader that has held the key for less than this. Otherwise two
   controllers that can't reach each other would keep deposing each other. */
static const double MIN_TERM_BEFORE_HINT_S = 8;
/* During a rolling upgrade: how long an outdated leader must have held the key before it is replaced, and how
   recently both it and this controller must have reached the store. */
static const double MIN_OUTDATED_TERM_S = 2;
static const double STORE_CONTACT_MAX_AGE_S = 5;

bool ow_succession_may_replace_exited(const struct ow_election *election, const char *controller_name)
{
    if (election->stage != OW_ELECTION_FOLLOWING || election->is_request_pending)
        return false;
    if (!election->key.is_known || election->key.mod_revision == 0)
        return false;
    if (g_strcmp0(election->leader_name, controller_name) != 0)
        return false;
    return election->core->now - election->key.held_since >= MIN_TERM_BEFORE_HINT_S;
}

/* A leader that gets no response at all from the key-value store, not even an error status, may be
   partitioned from it, alone or together with workers and other controllers. A successor may then exist whose
   cancellations it does not see; by answering heartbeats it would renew the leases of workers and keep
   cancelled tasks running. So it steps down early enough for these leases to expire within `cancel_s`. In an
   ordinary outage the store answers with an error status, which proves that the leader is not partitioned. */
bool ow_succession_is_partitioned(const struct ow_election *election)
{
    const struct ow_core *core = election->core;
    const struct ow_settings *settings = core->settings;
    if (settings->peers->len == 0)
        return false;
    double silence_max_s =
        settings->cancel_s - ow_clock_drift_longest_s(settings->lease_s) - DELIVERY_MARGIN_S;
    double reachable_at =
        MAX(election->term_started_at, ow_store_health_last_reachable_at(core->store_health));
    return core->now - reachable_at > MAX(silence_max_s, MIN_SILENCE_LEASES * core->tuning->leader_lease_s);
}

static bool leader_format_is_outdated(const struct ow_election *election)
{
    unsigned format = ow_peer_status_format(election->core->peer_status, election->leader_name);
    return format != 0 && format < OW_FORMAT_SMALL_CHUNKS;
}

bool ow_succession_leader_is_outdated(const struct ow_election *election)
{
    const struct ow_core *core = election->core;
    double now = core->now;
    if (election->leader_name == NULL || election->key.mod_revision == 0)
        return false;
    if (!ow_job_cache_is_loaded(core->job_cache) || !leader_format_is_outdated(election))
        return false;
    if (!ow_peer_status_store_answers(core->peer_status, election->leader_name, now, STORE_CONTACT_MAX_AGE_S))
        return false;
    bool is_store_healthy = ow_store_health_has_answered_within(core->store_health, STORE_CONTACT_MAX_AGE_S);
    return is_store_healthy && now - election->key.held_since > MIN_OUTDATED_TERM_S;
}
