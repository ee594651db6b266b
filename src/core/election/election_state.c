#include "core/election/election_state.h"

#include "core/core_state.h"
#include "core/election/election_callbacks.h"

#include <glib.h>

/* Renewals per lease duration; more than one, so that the lease survives failed renewals. */
static const double RENEWALS_PER_LEASE = 4;

double ow_election_renewal_interval_s(const struct ow_election *election)
{
    return election->core->tuning->leader_lease_s / RENEWALS_PER_LEASE;
}

void ow_election_set_leader_name(struct ow_election *election, const char *leader_name)
{
    /* `leader_name` may point to the string that is freed below. */
    char *copy = g_strdup(leader_name);
    g_free(election->leader_name);
    election->leader_name = copy;
}

void ow_election_restart(struct ow_election *election, double after_s)
{
    election->stage = OW_ELECTION_FOLLOWING;
    election->key.is_known = false;
    election->next_request_at = election->core->now + after_s;
}

void ow_election_become_candidate(struct ow_election *election)
{
    election->lease.id = 0;
    election->stage = OW_ELECTION_OBTAINING_LEASE;
}

void ow_election_start_leading(struct ow_election *election, uint64_t fencing_token)
{
    struct ow_core *core = election->core;
    election->stage = OW_ELECTION_LEADING;
    election->fencing_token = fencing_token;
    election->key.is_missing = false;
    election->term_started_at = core->now;
    election->highest_fencing_token = MAX(election->highest_fencing_token, fencing_token);
    election->lease.renew_at = core->now + ow_election_renewal_interval_s(election);
    election->watch.since_revision = fencing_token;
    ow_election_set_leader_name(election, NULL);
    g_info("became leader: fencing_token=%" G_GUINT64_FORMAT, fencing_token);
    election->callbacks->start_leading(core, fencing_token);
}

void ow_election_step_down(struct ow_election *election, const char *reason)
{
    if (election->stage == OW_ELECTION_LEADING) {
        g_info("stepped down as leader: fencing_token=%" G_GUINT64_FORMAT " reason=\"%s\"",
               election->fencing_token, reason);
        election->callbacks->stop_leading(election->core);
    }
    ow_election_set_leader_name(election, NULL);
    ow_election_restart(election, 0);
}
