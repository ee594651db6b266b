/** @file
 * The core of a controller: the deterministic state machine of one shard. Events and the current time go in,
 * effects come out. It has no socket, file, clock or timer, so the same events at the same times always have
 * the same effects.
 */
#ifndef OW_CORE_CORE_H
#define OW_CORE_CORE_H

#include "model/event.h"
#include "model/settings.h"
#include "model/submission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_core;

/** Creates a core that has not run yet; freed by ow_core_free(). `settings` and `tuning` must outlive it.
 * `nonce` is a number that no other process has. */
struct ow_core *ow_core_new(const struct ow_settings *settings, const struct ow_tuning *tuning,
                            uint64_t nonce);
/** Frees the core with its leader, jobs and queued events; pending callbacks are not called. */
void ow_core_free(struct ow_core *core);
/** Queues an event; the core takes ownership of it. */
void ow_core_push(struct ow_core *core, struct ow_event *event);
/** Sets the duration of the last step if the process can't keep up with its input, or 0 (initially): it
 * bounds the share of time that decisions take. */
void ow_core_set_overload(struct ow_core *core, double last_step_s);
/** Runs one step: handles the queued events and does everything that is due. Returns the effects (struct
 * ow_effect); the caller owns the array and its members. `now` is the monotonic clock in seconds.
 * `time_of_day`, in seconds since 1970, is used only for the age of jobs. */
GPtrArray *ow_core_step(struct ow_core *core, double now, double time_of_day);
/** Seconds until the next step is due if no event arrives. */
double ow_core_idle_seconds(const struct ow_core *core);
/** Whether the load balancer should send users to this controller. */
bool ow_core_is_ready(const struct ow_core *core);
/** The leader known to this controller and, if this controller leads, the progress of its failover.
 * Strings are valid until the next event. */
struct ow_core_status {
    const char *leader_name; /**< NULL: none, or unknown */
    uint64_t fencing_token;  /**< of this controller's term; 0: it does not lead */
    bool key_missing;        /**< the key-value store has answered that the leader key does not exist */
    bool records_read;       /**< the leader is ready */
    bool settled;            /**< ready long enough for every live worker to have sent it a heartbeat */
    unsigned machines;       /**< known to the leader, with at least one heartbeat ever */
    unsigned fenced;         /**< of `machines`: those whose heartbeat carried its fencing token */
};
/** Fills in `status` with the present state. */
void ow_core_status(const struct ow_core *core, struct ow_core_status *status);
/** Sets whether this controller may take the leader key, and for how many seconds it leaves a missing key to
 * other candidates. */
void ow_core_set_candidacy(struct ow_core *core, bool may_lead, double delay_s);
/** Whether the job is in this controller's copy of the job table. */
bool ow_core_knows_job(const struct ow_core *core, const char *id);
/** Why the job can never run here; NULL: it can, or that is not known yet. */
const char *ow_core_infeasible_reason(const struct ow_core *core, const struct ow_submission *submission);
/** CPUs that the pending tasks of open jobs need, as far as known to this controller. */
double ow_core_waiting_cpus(const struct ow_core *core);
/** How many violated invariants this core has found (invariants.h); each is a fault of the program. */
unsigned ow_core_invariant_violations(const struct ow_core *core);
/** The fencing token under which this controller leads; 0: it does not. */
uint64_t ow_core_fencing_token(const struct ow_core *core);

#endif
