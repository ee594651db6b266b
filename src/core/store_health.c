#include "core/store_health.h"

#include "core/core_state.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"

/* After this long without a successful answer the key-value store is probed. */
static const double PROBE_AFTER_S = 2;
/* How long a successful answer counts as recent. */
static const double ANSWER_RECENT_S = 12;
/* After failing for this long the key-value store counts as lost. */
static const double LOST_AFTER_S = 2;

/* The replies since the last log line. */
struct reply_metrics {
    unsigned served;      /* any status but the following */
    unsigned limited;     /* TOO_MANY_REQUESTS */
    unsigned unavailable; /* UNAVAILABLE */
    unsigned unanswered;  /* no response */
    unsigned unreadable;  /* a response whose body can't be read */
};

struct ow_store_health {
    struct ow_core *core;
    double succeeded_at;  /* time of the last successful answer; 0: none yet */
    double failing_since; /* 0: the last answer was successful */
    double refused_at;    /* time of the last UNAVAILABLE: the store can be reached and may serve others */
    bool is_silent;       /* the last failure was a missing response, not an error status */
    bool is_probing;      /* a probe is in flight */
    double probed_at;     /* when the last probe was sent */
    struct reply_metrics metrics;
};

struct ow_store_health *ow_store_health_new(struct ow_core *core)
{
    struct ow_store_health *health = g_new0(struct ow_store_health, 1);
    health->core = core;
    return health;
}

void ow_store_health_free(struct ow_store_health *health)
{
    g_free(health);
}

static void count_reply(struct reply_metrics *metrics, const struct ow_store_reply *reply)
{
    if (reply->is_unreadable) {
        metrics->unreadable++;
        return;
    }
    switch (reply->status) {
    case OW_HTTP_STATUS_TOO_MANY_REQUESTS:
        metrics->limited++;
        break;
    case OW_HTTP_STATUS_UNAVAILABLE:
        metrics->unavailable++;
        break;
    case OW_HTTP_STATUS_NONE:
        metrics->unanswered++;
        break;
    default:
        metrics->served++;
        break;
    }
}

void ow_store_health_log_metrics(struct ow_store_health *health)
{
    const struct reply_metrics *metrics = &health->metrics;
    if (metrics->served + metrics->limited + metrics->unavailable + metrics->unanswered +
            metrics->unreadable >
        0)
        g_info("key-value store replies: served=%u limited=%u unavailable=%u unanswered=%u unreadable=%u",
               metrics->served, metrics->limited, metrics->unavailable, metrics->unanswered,
               metrics->unreadable);
    health->metrics = (struct reply_metrics){0};
}

void ow_store_health_note_reply(struct ow_store_health *health, const struct ow_store_reply *reply)
{
    double now = health->core->now;
    int status = reply->status;
    count_reply(&health->metrics, reply);
    /* UNAVAILABLE: the key-value store can be reached, but does not serve at present. */
    bool has_failed = status == OW_HTTP_STATUS_NONE || status == OW_HTTP_STATUS_UNAVAILABLE;
    health->is_silent = status == OW_HTTP_STATUS_NONE && !reply->is_unreadable;
    if (status == OW_HTTP_STATUS_UNAVAILABLE)
        health->refused_at = now;
    if (!has_failed) {
        health->succeeded_at = now;
        health->failing_since = 0;
        return;
    }
    if (health->failing_since == 0)
        health->failing_since = now;
}

static void on_probe(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_store_health *health = owner;
    (void)data;
    (void)answer; /* ow_store_health_note_reply() has already recorded it */
    health->is_probing = false;
}

void ow_store_health_probe(struct ow_store_health *health)
{
    double now = health->core->now;
    if (health->is_probing || now < MAX(health->succeeded_at, health->probed_at) + PROBE_AFTER_S)
        return;
    health->is_probing = true;
    health->probed_at = now;
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GET, OW_KEY_LEADER);
    ow_core_call_store(health->core, request, on_probe, health, NULL, NULL);
}

bool ow_store_health_has_answered_within(const struct ow_store_health *health, double within_s)
{
    return health->failing_since == 0 && health->core->now - health->succeeded_at < within_s;
}

bool ow_store_health_is_ok(const struct ow_store_health *health)
{
    /* An open watch is no evidence: it gives no answer in an outage, and none while nothing changes. */
    return health->succeeded_at > 0 && ow_store_health_has_answered_within(health, ANSWER_RECENT_S);
}

double ow_store_health_last_reachable_at(const struct ow_store_health *health)
{
    return MAX(health->succeeded_at, health->refused_at);
}

bool ow_store_health_is_lost(const struct ow_store_health *health)
{
    return health->failing_since > 0 && health->core->now - health->failing_since > LOST_AFTER_S;
}

bool ow_store_health_is_silent(const struct ow_store_health *health)
{
    return health->is_silent;
}
