/** @file
 * The state of a core, which its modules share, and the functions by which they emit effects and send
 * requests. Private to src/core and owned by core.c. The modules' structs are opaque here: only the module of
 * that name changes them.
 */
#ifndef OW_CORE_CORE_STATE_H
#define OW_CORE_CORE_STATE_H

#include "core/api/request_metrics.h"
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

/** One queue for each kind of event, handled in the order of the kinds. */
enum { OW_EVENT_QUEUES = OW_EVENT_SUBMIT + 1 };

/** The core of a controller. */
struct ow_core {
    const struct ow_settings *settings; /**< not owned */
    const struct ow_tuning *tuning;     /**< not owned */
    uint64_t nonce; /**< distinguishes this process from earlier ones of the same controller name */

    /* The current step: core.c. */
    double now;         /**< monotonic clock, in seconds */
    double time_of_day; /**< seconds since 1970, approximate: used for the age of jobs, never for a safety
                           decision */
    double
        overload_step_s; /**< duration of the last step if the process can't keep up with its input, else 0 */
    GQueue queues[OW_EVENT_QUEUES]; /**< struct ow_event, one queue for each kind */
    GPtrArray *effects;             /**< struct ow_effect, of this step so far */
    struct ow_pending_calls *pending_calls;

    /* Copies of external state. */
    struct ow_interners interners;
    struct ow_jobs *jobs; /**< the job table */
    struct ow_job_cache *job_cache;
    struct ow_machine_types *machine_types;
    GArray *classes;                     /**< struct ow_class, by class index: classes.c */
    struct ow_store_limits store_limits; /**< changed by store_limits.c when a write is refused */
    struct ow_store_health *store_health;
    struct ow_peer_status *peer_status;
    struct ow_machine_hints *machine_hints;

    /* Components with work of their own in every step. */
    struct ow_election *election;
    struct ow_leader *leader; /**< NULL while this controller does not lead */
    struct ow_cancellation_ack *cancellation_ack;
    struct ow_type_discovery *type_discovery;
    struct ow_hello *hello;

    /* For the log, and for tests. */
    unsigned invariant_violations;             /**< invariants.c */
    struct ow_request_metrics request_metrics; /**< counted by job_reply.c */
    double status_log_at;                      /**< when the periodic lines are due: status_log.c */
};

/** Appends an effect to those of this step; the caller of ow_core_step() owns it. */
void ow_core_emit(struct ow_core *core, struct ow_effect *effect);
/** Answers a user's request with an error; `text` is copied. `status` is the HTTP status; `retry_after_s` the
 * value of Retry-After, 0: no such header. */
void ow_core_reject_request(struct ow_core *core, uint64_t request, int status, const char *text,
                            int retry_after_s);
/** Sends a request to the key-value store and takes ownership of it. `callback` (NULL: the answer is ignored)
 * gets `owner` and `data`; `free_data` frees `data` afterwards and may be NULL. */
void ow_core_call_store(struct ow_core *core, struct ow_store_request *request, ow_call_fn callback,
                        void *owner, void *data, void (*free_data)(void *));
/** Sends a request to the cloud; like ow_core_call_store(), but `callback` must not be NULL. */
void ow_core_call_cloud(struct ow_core *core, struct ow_cloud_request *request, ow_call_fn callback,
                        void *owner, void *data, void (*free_data)(void *));
/** Sends a message to all peers and takes ownership of it. */
void ow_core_send_to_peers(struct ow_core *core, struct ow_peer_message *message);

#endif
