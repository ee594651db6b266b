#include "core/election/election.h"

#include "core/controller.h"
#include "core/api/job_cache.h"
#include "core/leader.h"
#include "core/records/records.h"
#include "wire/records_json.h"

static const double RETRY_S = 0.4, WATCH_S = 20, WATCH_GAP_S = 0.2;
/* Slack for clocks that drift, for what was said before it was heard, and for a worker's last report. */
static const double DRIFT = 0.002, MARGIN_S = 3;
/* A leader so young is not taken over on a hint: two that can't reach each other would take turns. */
static const double HINT_AGE_S = 8;
/* During an upgrade: how long a leader of an earlier version is left in office by one that has just come
   back, and how fresh the word of its version must be. */
static const double OUTDATED_LEADER_S = 2, PEER_FRESH_S = 5;
/* How long one that has stepped down for the workers' sake leaves the key to others. */
static const double YIELD_S = 15;

enum stage { LOOKING, LEASING, TAKING, LEADING };

struct ow_election {
    struct ow_controller *controller;
    enum stage stage;
    bool busy;     /* a request of the stage at hand is under way */
    double act_at; /* not before */
    uint64_t lease;
    uint64_t key_version; /* of the key as last read; 0: nobody holds it */
    bool key_known;       /* key_version and leader_name are from the state service */
    char *leader_name;
    uint64_t token;      /* ours while LEADING */
    uint64_t seen_token; /* the highest known */
    uint64_t taken_from; /* the version that our attempt to take the key replaces */
    bool renewing;
    double renew_at;
    bool watching;
    double watch_at;
    uint64_t revision; /* watched since */
    double led_since;  /* when we first heard of the key's present holder */
    double began_at;   /* our own term */
};

struct ow_election *ow_election_new(struct ow_controller *controller)
{
    struct ow_election *e = g_new0(struct ow_election, 1);
    e->controller = controller;
    return e;
}

void ow_election_free(struct ow_election *e)
{
    g_free(e->leader_name);
    g_free(e);
}

uint64_t ow_election_token(const struct ow_election *e)
{
    return e->stage == LEADING ? e->token : 0;
}

uint64_t ow_election_key(const struct ow_election *e)
{
    if (e->stage == LEADING)
        return e->token;
    return e->key_known ? e->key_version : 0;
}

const char *ow_election_leader_name(const struct ow_election *e)
{
    return e->stage == LEADING ? e->controller->settings->controller_name : e->leader_name;
}

static void set_leader_name(struct ow_election *e, const char *leader_name)
{
    char *copy = g_strdup(leader_name);
    g_free(e->leader_name);
    e->leader_name = copy;
}

static bool is_us(const struct ow_election *e, const char *name)
{
    return g_strcmp0(name, e->controller->settings->controller_name) == 0;
}

static void look_again(struct ow_election *e, double after_s)
{
    e->stage = LOOKING;
    e->key_known = false;
    e->act_at = e->controller->now + after_s;
}

/* A try for the key, with a new lease: one from an earlier try may have run out. */
static void begin(struct ow_election *e)
{
    e->lease = 0;
    e->stage = LEASING;
}

static void step_down(struct ow_election *e, const char *why)
{
    if (e->stage == LEADING) {
        g_info("no longer leader: %s", why);
        ow_leader_free(e->controller->leader);
        e->controller->leader = NULL;
    }
    set_leader_name(e, NULL);
    look_again(e, 0);
}

void ow_election_peer_ended(struct ow_election *e, const char *controller_name)
{
    if (e->stage != LOOKING || e->busy || !e->key_known || e->key_version == 0 ||
        g_strcmp0(e->leader_name, controller_name) != 0 || e->controller->now - e->led_since < HINT_AGE_S)
        return;
    /* Safe even if the hint is wrong: the token and the conditions of every write depose the old one. */
    g_info("leader %s seems to have ended", controller_name);
    e->act_at = e->controller->now;
    begin(e);
}

void ow_election_deposed(struct ow_election *e)
{
    if (e->stage == LEADING)
        step_down(e, "the key has changed hands");
}

void ow_election_invalidate(struct ow_election *e)
{
    ow_election_deposed(e);
    if (e->stage == LOOKING)
        e->key_known = false;
}

void ow_election_yield(struct ow_election *e, const char *why)
{
    if (e->stage != LEADING)
        return;
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_expect(txn, OW_KEY_LEADER, e->token);
    ow_store_write(txn, OW_KEY_LEADER, NULL, 0);
    ow_controller_store(e->controller, txn, NULL, e, NULL, NULL);
    step_down(e, why);
    look_again(e, YIELD_S);
}

void ow_election_observe_token(struct ow_election *e, uint64_t token, const char *leader_name)
{
    if (token < e->seen_token)
        return;
    e->seen_token = token;
    if (e->stage == LEADING && token > e->token)
        step_down(e, "a higher token is about");
    if (leader_name != NULL && e->stage != LEADING)
        set_leader_name(e, leader_name);
}

static char *nonce_text(const struct ow_election *e)
{
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x", e->controller->nonce);
}

static void begin_lead(struct ow_election *e, uint64_t token)
{
    e->stage = LEADING;
    e->token = token;
    e->began_at = e->controller->now;
    e->seen_token = MAX(e->seen_token, token);
    e->renew_at = e->controller->now + e->controller->rules->leader_lease_s / 4;
    e->revision = token;
    set_leader_name(e, NULL);
    g_info("leader with token %" G_GUINT64_FORMAT, token);
    e->controller->leader = ow_leader_new(e->controller, token);
}

/* The key as the state service shows it now. */
static void learn_key(struct ow_election *e, const struct ow_store_item *item)
{
    const char *leader_name = NULL, *nonce = NULL;
    char *ours = nonce_text(e);
    wire_leader_record_parse(item->value, &leader_name, &nonce);
    if (item->version != e->key_version)
        e->led_since = e->controller->now;
    e->key_version = item->version;
    e->key_known = true;
    if (is_us(e, leader_name) && g_strcmp0(nonce, ours) == 0 && e->lease != 0 &&
        item->version > e->taken_from && item->version > e->token) {
        /* The answer to our own write was lost, but it was carried out. A token that we have led with and
           given up is not taken up again: launches sent under it may still be on their way. */
        begin_lead(e, item->version);
    } else if (is_us(e, leader_name)) {
        /* An earlier process of this name, which has ended: its key need not run out first. */
        set_leader_name(e, NULL);
        begin(e);
    } else {
        set_leader_name(e, leader_name);
        e->seen_token = MAX(e->seen_token, item->version);
    }
    g_free(ours);
}

static void key_free(struct ow_election *e)
{
    e->key_version = 0;
    e->key_known = true;
    set_leader_name(e, NULL);
    begin(e);
}

static void on_look(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_election *e = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    e->busy = false;
    if (e->stage != LOOKING)
        return;
    if (reply->status == 200 && reply->items->len == 1) {
        const struct ow_store_item *item = &g_array_index(reply->items, struct ow_store_item, 0);
        e->revision = MAX(e->revision, item->version);
        learn_key(e, item);
    } else if (reply->status == 404) {
        e->revision = MAX(e->revision, reply->revision);
        key_free(e);
    } else {
        e->act_at = e->controller->now + RETRY_S;
    }
}

static void on_lease(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_election *e = owner;
    (void)data;
    e->busy = false;
    if (e->stage != LEASING)
        return;
    if (answer->store.status == 200) {
        e->lease = answer->store.lease;
        e->stage = TAKING;
    } else {
        look_again(e, RETRY_S);
    }
}

static void on_take(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_election *e = owner;
    (void)data;
    e->busy = false;
    if (e->stage != TAKING)
        return;
    int status = answer->store.status;
    if (status == 200) {
        begin_lead(e, answer->store.revision);
        return;
    }
    /* No response: the write may have been carried out, so the key is read before anything else.
       A refused lease must not be used again. */
    if (status == 400)
        e->lease = 0;
    look_again(e, status == 409 ? 0 : RETRY_S);
}

static void on_renewed(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_election *e = owner;
    uint64_t lease = *(uint64_t *)data;
    e->renewing = false;
    if (e->stage != LEADING || lease != e->lease)
        return;
    int status = answer->store.status;
    /* In an outage the lease keeps its full time, so only a clear "no such lease" ends our turn. */
    if (status == 404)
        step_down(e, "its lease has ended");
    else
        e->renew_at =
            e->controller->now + (status == 200 ? e->controller->rules->leader_lease_s / 4 : RETRY_S);
}

static void on_watch(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_election *e = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    e->watching = false;
    e->watch_at = e->controller->now + (reply->status == 200 ? WATCH_GAP_S : RETRY_S);
    if (reply->status != 200) {
        if (reply->status == 410)
            e->revision = 0;
        if (e->stage == LOOKING)
            e->key_known = false;
        return;
    }
    e->revision = MAX(e->revision, reply->revision);
    if (e->stage != LOOKING)
        return;
    for (guint i = 0; i < reply->items->len && e->stage == LOOKING; i++) {
        const struct ow_store_item *item = &g_array_index(reply->items, struct ow_store_item, i);
        if (item->version < e->key_version)
            continue;
        if (item->value == NULL)
            key_free(e);
        else
            learn_key(e, item);
    }
}

static void look(struct ow_election *e)
{
    e->busy = true;
    ow_controller_store(e->controller, ow_store_request_new(OW_STORE_GET, OW_KEY_LEADER), on_look, e, NULL,
                        NULL);
}

static void ask_lease(struct ow_election *e)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_LEASE, NULL);
    request->seconds = e->controller->rules->leader_lease_s;
    e->busy = true;
    ow_controller_store(e->controller, request, on_lease, e, NULL, NULL);
}

static void take(struct ow_election *e)
{
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    char *nonce = nonce_text(e);
    ow_store_expect(txn, OW_KEY_LEADER, e->key_version);
    ow_store_write(txn, OW_KEY_LEADER, wire_leader_record(e->controller->settings->controller_name, nonce),
                   e->lease);
    g_free(nonce);
    e->taken_from = e->key_version;
    e->busy = true;
    ow_controller_store(e->controller, txn, on_take, e, NULL, NULL);
}

static void renew(struct ow_election *e)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_RENEW, NULL);
    uint64_t *lease = g_new(uint64_t, 1);
    *lease = request->number = e->lease;
    e->renewing = true;
    ow_controller_store(e->controller, request, on_renewed, e, lease, g_free);
}

static void watch(struct ow_election *e)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_WATCH, OW_KEY_LEADER);
    request->number = e->revision;
    request->seconds = WATCH_S;
    e->watching = true;
    ow_controller_store(e->controller, request, on_watch, e, NULL, NULL);
}

/* A leader that gets no answer at all from the state service, not even a refusal, may be cut off, alone
   or together with workers and other controllers, and have a successor whose cancellations it does not hear
   of: by answering reports it would keep their tasks alive. It stops so early that leases end within the time
   that a cancelled task may last. In an ordinary outage the refusals themselves tell that it is not cut off.
 */
static bool forsaken(const struct ow_election *e)
{
    const struct ow_settings *s = e->controller->settings;
    double patience = s->cancel_s - s->lease_s * (1 + DRIFT) - MARGIN_S;
    double heard_at = MAX(e->began_at, MAX(e->controller->state_ok_at, e->controller->state_refused_at));
    return s->peers->len > 0 &&
           e->controller->now - heard_at > MAX(patience, 2 * e->controller->rules->leader_lease_s);
}

/* Whether the leader's process is of an earlier version, which an upgrade is about to replace. Leadership
   then moves once, now, instead of with every process of that version that happens to hold it as its turn
   comes. An earlier version never takes it back for this reason, so the two do not alternate. */
static bool leader_is_outdated(const struct ow_election *e)
{
    const struct ow_controller *controller = e->controller;
    if (e->leader_name == NULL || e->key_version == 0 || !ow_job_cache_loaded(controller->job_cache))
        return false;
    guint format = GPOINTER_TO_UINT(g_hash_table_lookup(controller->peer_formats, e->leader_name));
    const double *heard_at = g_hash_table_lookup(controller->peers_ok, e->leader_name);
    if (format == 0 || format >= OW_FORMAT_FINE || heard_at == NULL)
        return false;
    bool state_is_well =
        controller->state_bad_since == 0 && controller->now - controller->state_ok_at < PEER_FRESH_S;
    return state_is_well && controller->now - *heard_at < PEER_FRESH_S &&
           controller->now - e->led_since > OUTDATED_LEADER_S;
}

static void replace_outdated_leader(struct ow_election *e)
{
    g_info("leader %s is of an earlier version: its place is taken before its process is replaced",
           e->leader_name);
    e->led_since = e->controller->now; /* should it fail, it is not tried again at once */
    begin(e);
}

void ow_election_tick(struct ow_election *e)
{
    double now = e->controller->now;
    if (e->stage == LEADING && forsaken(e))
        step_down(e, "the state service is out of its reach");
    if (e->stage == LEADING) {
        if (!e->renewing && now >= e->renew_at)
            renew(e);
        return;
    }
    if (e->busy || now < e->act_at)
        return;
    if (e->stage == LEASING)
        ask_lease(e);
    else if (e->stage == TAKING)
        take(e);
    else if (!e->key_known)
        look(e);
    else if (leader_is_outdated(e))
        replace_outdated_leader(e);
    else if (!e->watching && now >= e->watch_at)
        watch(e);
}
