#include "core/peers/hello.h"

#include "core/core_state.h"
#include "core/election/election.h"
#include "core/store_health.h"
#include "model/peer.h"

static const double SEND_INTERVAL_S = 1;
/* How long a worker's heartbeat counts as recent. */
static const double WORKER_HEARTBEAT_MAX_AGE_S = 6;

struct ow_hello {
    struct ow_core *core;
    double next_send_at;
    double last_worker_heartbeat_at; /* the last heartbeat of any worker; 0: none yet */
};

struct ow_hello *ow_hello_new(struct ow_core *core)
{
    struct ow_hello *hello = g_new0(struct ow_hello, 1);
    hello->core = core;
    return hello;
}

void ow_hello_free(struct ow_hello *hello)
{
    g_free(hello);
}

void ow_hello_note_worker_heartbeat(struct ow_hello *hello)
{
    hello->last_worker_heartbeat_at = hello->core->now;
}

static bool receives_heartbeats(const struct ow_hello *hello)
{
    return hello->last_worker_heartbeat_at > 0 &&
           hello->core->now - hello->last_worker_heartbeat_at < WORKER_HEARTBEAT_MAX_AGE_S;
}

static void send(const struct ow_hello *hello)
{
    struct ow_core *core = hello->core;
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HELLO);
    message->sender = g_strdup(core->settings->controller_name);
    message->fencing_token = ow_election_fencing_token(core->election);
    message->hello.leads = message->fencing_token > 0;
    message->hello.store_ok = ow_store_health_is_ok(core->store_health);
    message->hello.receives_heartbeats = receives_heartbeats(hello);
    ow_core_send_to_peers(core, message);
}

void ow_hello_tick(struct ow_hello *hello)
{
    double now = hello->core->now;
    if (now < hello->next_send_at)
        return;
    hello->next_send_at = now + SEND_INTERVAL_S;
    send(hello);
}
