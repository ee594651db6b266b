/* One controller: what its parts share. Owned by core.c; nothing outside core/ sees it. */
#ifndef OW_CORE_CORE_STATE_H
#define OW_CORE_CORE_STATE_H

#include "core/jobs/job.h"
#include "core/pending_calls.h"
#include "core/records/store_limits.h"
#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/peer.h"
#include "model/settings.h"
#include "util/rate_limiter.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_cancellation_ack;
struct ow_job_cache;
struct ow_election;
struct ow_leader;
struct ow_machine_hints;
struct ow_peer_status;
struct ow_store_health;
struct ow_type_discovery;

/* One queue for each kind of event, worked off in the order of the kinds. */
enum { OW_EVENT_QUEUES = OW_EVENT_SUBMIT + 1 };

struct ow_core {
    const struct ow_settings *settings;
    const struct ow_tuning *tuning;
    struct ow_store_limits store_limits;
    uint64_t nonce; /* tells this process from others of the same name */
    double now;
    double time_of_day; /* roughly: nothing that must be safe rests on it */
    GPtrArray *effects;
    struct ow_pending_calls *pending_calls;
    struct ow_interners interners;
    struct ow_jobs *jobs;
    struct ow_machine_type *types[OW_MAX_TYPES]; /* by name index; NULL: not known */
    bool types_known;
    GArray *classes; /* struct ow_class, by class index; owned by classes.c */
    struct ow_job_cache *job_cache;
    struct ow_election *election;
    struct ow_leader *leader; /* NULL while another controller leads */
    struct ow_cancellation_ack *cancellation_ack;
    struct ow_store_health *store_health;
    struct ow_peer_status *peer_status;
    double last_worker_heartbeat_at;        /* the last heartbeat that came here; 0: none yet */
    struct ow_machine_hints *machine_hints; /* from the leader's last message */
    double hello_at;
    bool may_lead;                  /* false: this controller never takes the leader's key */
    double election_delay_s;        /* how long it leaves a missing key to others before it takes it */
    GQueue queues[OW_EVENT_QUEUES]; /* struct ow_event, one queue for each kind */
    struct ow_type_discovery *type_discovery;
};

/* Queues an effect for the caller of the core, which it then belongs to. */
void ow_core_emit(struct ow_core *core, struct ow_effect *effect);
/* Answers a user's request with an error; `text` is copied. */
void ow_core_reject_request(struct ow_core *core, uint64_t request, int status, const char *text,
                            int retry_after_s);
/* Sends a request to the key-value store, taking it over. `callback` (NULL: the answer is ignored) gets
   `owner` and `data`; `free_data` may be NULL. */
void ow_core_call_store(struct ow_core *core, struct ow_store_request *request, ow_call_fn callback,
                        void *owner, void *data, void (*free_data)(void *));
/* The same to the cloud, where `callback` must not be NULL. */
void ow_core_call_cloud(struct ow_core *core, struct ow_cloud_request *request, ow_call_fn callback,
                        void *owner, void *data, void (*free_data)(void *));
/* Sends a message to all peers, taking it over. */
void ow_core_send_to_peers(struct ow_core *core, struct ow_peer_message *message);
/* Copies the machine types into the table; types that it already has are replaced. */
void ow_core_set_machine_types(struct ow_core *core, const GArray *types);
/* Frees the machine types in the table. */
void ow_core_free_machine_types(struct ow_core *core);

#endif
