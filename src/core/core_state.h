/** @file
 * One controller's core: what its parts share, and what they ask of it. Owned by core.c; nothing outside
 * src/core sees it. The parts are opaque here: each is changed by its own module alone.
 */
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
struct ow_election;
struct ow_hello;
struct ow_job_cache;
struct ow_leader;
struct ow_machine_hints;
struct ow_machine_types;
struct ow_peer_status;
struct ow_store_health;
struct ow_type_discovery;

/** One queue for each kind of event, worked off in the order of the kinds. */
enum { OW_EVENT_QUEUES = OW_EVENT_SUBMIT + 1 };

/** The core of a controller. */
struct ow_core {
    const struct ow_settings *settings; /**< not owned */
    const struct ow_tuning *tuning;     /**< not owned */
    uint64_t nonce;                     /**< tells this process from others of the same name */

    /* The step under way: core.c. */
    double now;                     /**< steady clock, in seconds */
    double time_of_day;             /**< roughly: nothing that must be safe rests on it */
    GQueue queues[OW_EVENT_QUEUES]; /**< struct ow_event, one queue for each kind */
    GPtrArray *effects;             /**< struct ow_effect, of this step so far */
    struct ow_pending_calls *pending_calls;

    /* What is known of the world. */
    struct ow_interners interners;
    struct ow_jobs *jobs; /**< the job table */
    struct ow_job_cache *job_cache;
    struct ow_machine_types *machine_types;
    GArray *classes;                     /**< struct ow_class, by class index: classes.c */
    struct ow_store_limits store_limits; /**< changed by store_limits.c when a write is refused */
    struct ow_store_health *store_health;
    struct ow_peer_status *peer_status;
    struct ow_machine_hints *machine_hints;

    /* What it does. */
    struct ow_election *election;
    struct ow_leader *leader; /**< NULL while this controller does not lead */
    struct ow_cancellation_ack *cancellation_ack;
    struct ow_type_discovery *type_discovery;
    struct ow_hello *hello;
};

/** Queues an effect for the caller of the core, which it then belongs to. */
void ow_core_emit(struct ow_core *core, struct ow_effect *effect);
/** Answers a user's request with an error; `text` is copied. `status` is the HTTP status, `retry_after_s`
 * when the user is to come again; 0: not told. */
void ow_core_reject_request(struct ow_core *core, uint64_t request, int status, const char *text,
                            int retry_after_s);
/** Sends a request to the key-value store, taking it over. `callback` (NULL: the answer is ignored) gets
 * `owner` and `data`; `free_data` frees `data` afterwards and may be NULL. */
void ow_core_call_store(struct ow_core *core, struct ow_store_request *request, ow_call_fn callback,
                        void *owner, void *data, void (*free_data)(void *));
/** The same to the cloud, where `callback` must not be NULL. */
void ow_core_call_cloud(struct ow_core *core, struct ow_cloud_request *request, ow_call_fn callback,
                        void *owner, void *data, void (*free_data)(void *));
/** Sends a message to all peers, taking it over. */
void ow_core_send_to_peers(struct ow_core *core, struct ow_peer_message *message);

#endif
