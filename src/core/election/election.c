#include "core/election/election.h"

#include "core/core_state.h"
#include "core/election/election_state.h"
#include "core/election/leader_key.h"
#include "core/election/leader_lease.h"
#include "core/election/succession.h"

/* After ow_election_yield() this controller does not try to take the key for this long. */
static const double YIELD_DURATION_S = 15;

struct ow_election *ow_election_new(struct ow_core *core, const struct ow_election_callbacks *callbacks)
{
    struct ow_election *election = g_new0(struct ow_election, 1);
    election->core = core;
    election->callbacks = callbacks;
    election->candidacy.may_lead = true;
    return election;
}

void ow_election_free(struct ow_election *election)
{
    g_free(election->leader_name);
    g_free(election);
}

void ow_election_set_candidacy(struct ow_election *election, bool may_lead, double delay_s)
{
    election->candidacy = (struct ow_candidacy){.may_lead = may_lead, .delay_s = delay_s};
}

uint64_t ow_election_fencing_token(const struct ow_election *election)
{
    return election->stage == OW_ELECTION_LEADING ? election->fencing_token : 0;
}

uint64_t ow_election_key_revision(const struct ow_election *election)
{
    if (election->stage == OW_ELECTION_LEADING)
        return election->fencing_token;
    return election->key.is_known ? election->key.mod_revision : 0;
}

const char *ow_election_leader_name(const struct ow_election *election)
{
    if (election->stage == OW_ELECTION_LEADING)
        return election->core->settings->controller_name;
    return election->leader_name;
}

bool ow_election_key_is_missing(const struct ow_election *election)
{
    return election->stage != OW_ELECTION_LEADING && election->key.is_missing;
}

void ow_election_note_peer_exited(struct ow_election *election, const char *controller_name)
{
    if (!ow_succession_may_replace_exited(election, controller_name))
        return;
    /* A wrong hint is safe: the new fencing token and the compare on the leader key in every write depose the
       old leader. */
    g_info("leader process appears to have exited: controller=%s", controller_name);
    election->next_request_at = election->core->now;
    ow_election_become_candidate(election);
}

void ow_election_note_deposed(struct ow_election *election)
{
    if (election->stage == OW_ELECTION_LEADING)
        ow_election_step_down(election, "another controller has taken the leader key");
}

void ow_election_invalidate_key(struct ow_election *election)
{
    ow_election_note_deposed(election);
    if (election->stage == OW_ELECTION_FOLLOWING)
        election->key.is_known = false;
}

void ow_election_yield(struct ow_election *election, const char *reason)
{
    if (election->stage != OW_ELECTION_LEADING)
        return;
    ow_leader_lease_release_key(election);
    ow_election_step_down(election, reason);
    ow_election_restart(election, YIELD_DURATION_S);
}

void ow_election_observe_fencing_token(struct ow_election *election, uint64_t fencing_token,
                                       const char *leader_name)
{
    if (fencing_token < election->highest_fencing_token)
        return;
    election->highest_fencing_token = fencing_token;
    if (election->stage == OW_ELECTION_LEADING && fencing_token > election->fencing_token)
        ow_election_step_down(election, "a higher fencing token was observed");
    if (leader_name != NULL && election->stage != OW_ELECTION_LEADING)
        ow_election_set_leader_name(election, leader_name);
}

static void replace_outdated_leader(struct ow_election *election)
{
    g_info("replacing leader that runs an earlier version: controller=%s", election->leader_name);
    election->key.held_since = election->core->now; /* a failed attempt is repeated after another wait */
    ow_election_become_candidate(election);
}

static void tick_leader(struct ow_election *election)
{
    if (!election->lease.is_renewing && election->core->now >= election->lease.renew_at)
        ow_leader_lease_renew(election);
}

static void tick_follower(struct ow_election *election)
{
    if (!election->key.is_known)
        ow_leader_key_read(election);
    else if (election->candidacy.may_lead && ow_succession_leader_is_outdated(election))
        replace_outdated_leader(election);
    else if (!election->watch.is_open && election->core->now >= election->watch.next_at)
        ow_leader_key_watch(election);
}

/* Sends the next request of a follower or candidate, if it is due. */
static void tick_not_leading(struct ow_election *election)
{
    if (election->is_request_pending || election->core->now < election->next_request_at)
        return;
    if (election->stage == OW_ELECTION_OBTAINING_LEASE)
        ow_leader_lease_obtain(election);
    else if (election->stage == OW_ELECTION_TAKING_KEY)
        ow_leader_lease_take_key(election);
    else
        tick_follower(election);
}

void ow_election_tick(struct ow_election *election)
{
    if (election->stage == OW_ELECTION_LEADING && ow_succession_is_partitioned(election))
        ow_election_step_down(election, "no response from the key-value store");
    if (election->stage == OW_ELECTION_LEADING)
        tick_leader(election);
    else
        tick_not_leading(election);
}
