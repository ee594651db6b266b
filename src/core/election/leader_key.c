#include "core/election/leader_key.h"

#include "core/core_state.h"
#include "core/election/election_state.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "wire/records_json.h"

/* Duration of a watch, and the pause between two watches. */
static const double WATCH_DURATION_S = 20;
static const double WATCH_GAP_S = 0.2;
/* How often a controller that may not lead reads a missing key again. */
static const double MISSING_KEY_POLL_S = 1;

bool ow_leader_key_is_own_name(const struct ow_election *election, const char *name)
{
    return g_strcmp0(name, election->core->settings->controller_name) == 0;
}

char *ow_leader_key_nonce(const struct ow_election *election)
{
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x", election->core->nonce);
}

/* Whether this process wrote the key with the lease that it still holds, and has not led under this revision
   yet. A fencing token is never reused for a second term, because launches sent in the first one may still be
   in flight. */
static bool is_own_write(const struct ow_election *election, uint64_t mod_revision, const char *leader_name,
                         const char *nonce)
{
    if (!ow_leader_key_is_own_name(election, leader_name) || election->lease.id == 0)
        return false;
    if (mod_revision <= election->compared_revision || mod_revision <= election->fencing_token)
        return false;
    g_autofree char *own_nonce = ow_leader_key_nonce(election);
    return g_strcmp0(nonce, own_nonce) == 0;
}

/* Records that the key exists, with this revision. */
static void record_holder(struct ow_election *election, uint64_t mod_revision)
{
    struct ow_known_key *key = &election->key;
    if (mod_revision != key->mod_revision)
        key->held_since = election->core->now;
    key->mod_revision = mod_revision;
    key->is_known = true;
    key->is_missing = false;
    key->has_waited = false;
}

/* The key was written by an earlier process of this controller. That process has exited, so there is no need
   to wait until its lease expires. */
static void take_over_from_earlier_process(struct ow_election *election)
{
    ow_election_set_leader_name(election, NULL);
    if (election->candidacy.may_lead)
        ow_election_become_candidate(election);
}

static void handle_key(struct ow_election *election, const struct ow_store_item *item)
{
    const char *leader_name = NULL;
    const char *nonce = NULL;
    wire_leader_record_decode(item->value, &leader_name, &nonce);
    record_holder(election, item->mod_revision);
    if (is_own_write(election, item->mod_revision, leader_name, nonce)) {
        /* Our write was committed, but its reply was lost. */
        ow_election_start_leading(election, item->mod_revision);
    } else if (ow_leader_key_is_own_name(election, leader_name)) {
        take_over_from_earlier_process(election);
    } else {
        ow_election_set_leader_name(election, leader_name);
        election->highest_fencing_token = MAX(election->highest_fencing_token, item->mod_revision);
    }
}

static void handle_missing_key(struct ow_election *election)
{
    const struct ow_candidacy *candidacy = &election->candidacy;
    struct ow_known_key *key = &election->key;
    key->mod_revision = 0;
    key->is_known = true;
    key->is_missing = true;
    ow_election_set_leader_name(election, NULL);
    if (!candidacy->may_lead) {
        ow_election_restart(election, MISSING_KEY_POLL_S);
    } else if (candidacy->delay_s > 0 && !key->has_waited) {
        /* Other candidates go first; the key is read again after the delay. */
        key->has_waited = true;
        ow_election_restart(election, candidacy->delay_s);
    } else {
        key->has_waited = false;
        ow_election_become_candidate(election);
    }
}

static void on_read(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_election *election = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    election->is_request_pending = false;
    if (election->stage != OW_ELECTION_FOLLOWING)
        return;
    if (reply->status == OW_HTTP_STATUS_OK && reply->items->len == 1) {
        const struct ow_store_item *item = &g_array_index(reply->items, struct ow_store_item, 0);
        election->watch.since_revision = MAX(election->watch.since_revision, item->mod_revision);
        handle_key(election, item);
    } else if (reply->status == OW_HTTP_STATUS_NOT_FOUND) {
        election->watch.since_revision = MAX(election->watch.since_revision, reply->revision);
        handle_missing_key(election);
    } else {
        election->next_request_at = election->core->now + OW_ELECTION_RETRY_S;
    }
}

void ow_leader_key_read(struct ow_election *election)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GET, OW_KEY_LEADER);
    election->is_request_pending = true;
    ow_core_call_store(election->core, request, on_read, election, NULL, NULL);
}

static void handle_failed_watch(struct ow_election *election, int status)
{
    /* The store no longer keeps the changes since this revision. */
    if (status == OW_HTTP_STATUS_GONE)
        election->watch.since_revision = 0;
    if (election->stage == OW_ELECTION_FOLLOWING)
        election->key.is_known = false;
}

static void handle_change(struct ow_election *election, const struct ow_store_item *item)
{
    if (item->mod_revision < election->key.mod_revision)
        return;
    if (item->value == NULL)
        handle_missing_key(election);
    else
        handle_key(election, item);
}

static void on_watch(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_election *election = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    struct ow_key_watch *watch = &election->watch;
    watch->is_open = false;
    if (reply->status != OW_HTTP_STATUS_OK) {
        watch->next_at = election->core->now + OW_ELECTION_RETRY_S;
        handle_failed_watch(election, reply->status);
        return;
    }
    watch->next_at = election->core->now + WATCH_GAP_S;
    watch->since_revision = MAX(watch->since_revision, reply->revision);
    for (guint i = 0; i < reply->items->len && election->stage == OW_ELECTION_FOLLOWING; i++)
        handle_change(election, &g_array_index(reply->items, struct ow_store_item, i));
}

void ow_leader_key_watch(struct ow_election *election)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_WATCH, OW_KEY_LEADER);
    request->since_revision = election->watch.since_revision;
    request->duration_s = WATCH_DURATION_S;
    election->watch.is_open = true;
    ow_core_call_store(election->core, request, on_watch, election, NULL, NULL);
}
