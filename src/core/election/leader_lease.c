#include "core/election/leader_lease.h"

#include "core/core_state.h"
#include "core/election/election_state.h"
#include "core/election/leader_key.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "wire/records_json.h"

static void on_lease(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_election *election = owner;
    (void)data;
    election->is_request_pending = false;
    if (election->stage != OW_ELECTION_OBTAINING_LEASE)
        return;
    if (answer->store.status != OW_HTTP_STATUS_OK) {
        ow_election_restart(election, OW_ELECTION_RETRY_S);
        return;
    }
    election->lease.id = answer->store.lease;
    election->stage = OW_ELECTION_TAKING_KEY;
}

void ow_leader_lease_obtain(struct ow_election *election)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GRANT_LEASE, NULL);
    request->duration_s = election->core->tuning->leader_lease_s;
    election->is_request_pending = true;
    ow_core_call_store(election->core, request, on_lease, election, NULL, NULL);
}

static void on_key_taken(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_election *election = owner;
    int status = answer->store.status;
    (void)data;
    election->is_request_pending = false;
    if (election->stage != OW_ELECTION_TAKING_KEY)
        return;
    if (status == OW_HTTP_STATUS_OK) {
        ow_election_start_leading(election, answer->store.revision);
        return;
    }
    /* Without a response the write may have been committed, so the key is read before anything else.
       BAD_REQUEST means that the lease has expired: it must not be used again. */
    if (status == OW_HTTP_STATUS_BAD_REQUEST)
        election->lease.id = 0;
    ow_election_restart(election, status == OW_HTTP_STATUS_CONFLICT ? 0 : OW_ELECTION_RETRY_S);
}

void ow_leader_lease_take_key(struct ow_election *election)
{
    struct ow_store_request *transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    g_autofree char *nonce = ow_leader_key_nonce(election);
    char *record = wire_leader_record_encode(election->core->settings->controller_name, nonce);
    ow_store_request_compare(transaction, OW_KEY_LEADER, election->key.mod_revision);
    ow_store_request_put(transaction, OW_KEY_LEADER, record, election->lease.id);
    election->compared_revision = election->key.mod_revision;
    election->is_request_pending = true;
    ow_core_call_store(election->core, transaction, on_key_taken, election, NULL, NULL);
}

static void on_renewed(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_election *election = owner;
    const uint64_t *lease_id = data;
    int status = answer->store.status;
    election->lease.is_renewing = false;
    if (election->stage != OW_ELECTION_LEADING || *lease_id != election->lease.id)
        return;
    /* The store restarts every lease with its full duration after an outage, so a failed renewal does not
       mean that ours has expired: only NOT_FOUND (no such lease) ends our term. */
    if (status == OW_HTTP_STATUS_NOT_FOUND) {
        ow_election_step_down(election, "the leader lease has expired");
        return;
    }
    bool has_renewed = status == OW_HTTP_STATUS_OK;
    double pause_s = has_renewed ? ow_election_renewal_interval_s(election) : OW_ELECTION_RETRY_S;
    election->lease.renew_at = election->core->now + pause_s;
}

void ow_leader_lease_renew(struct ow_election *election)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_KEEP_ALIVE, NULL);
    uint64_t *lease_id = g_new(uint64_t, 1);
    *lease_id = election->lease.id;
    request->lease = election->lease.id;
    election->lease.is_renewing = true;
    ow_core_call_store(election->core, request, on_renewed, election, lease_id, g_free);
}

void ow_leader_lease_release_key(struct ow_election *election)
{
    struct ow_store_request *transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_request_compare(transaction, OW_KEY_LEADER, election->fencing_token);
    ow_store_request_put(transaction, OW_KEY_LEADER, NULL, 0);
    ow_core_call_store(election->core, transaction, NULL, election, NULL, NULL);
}
