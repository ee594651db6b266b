/** @file
 * The core of a controller: events with a time go in, effects come out. It has no socket, file, clock or
 * timer, so the same events at the same times always have the same effects.
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

/** A core that has not run yet; freed by ow_core_free(). `settings` and `tuning` must outlive it. `nonce` is
 * a number that no other process has. */
struct ow_core *ow_core_new(const struct ow_settings *settings, const struct ow_tuning *tuning,
                            uint64_t nonce);
/** Frees the core with all that it owns. */
void ow_core_free(struct ow_core *core);
/** Queues an event, which the core takes over. */
void ow_core_push(struct ow_core *core, struct ow_event *event);
/** One step: works off the queued events and everything that is due. The effects (struct ow_effect) go to the
 * caller, who owns the array and its members. `now` is of a steady clock, in seconds; the time of day, in
 * seconds since 1970, only tells how old jobs are. */
GPtrArray *ow_core_step(struct ow_core *core, double now, double time_of_day);
/** How many seconds until the core wants to run again, if no event comes. */
double ow_core_idle_seconds(const struct ow_core *core);
/** Whether users should be sent here. */
bool ow_core_is_ready(const struct ow_core *core);
/** Who leads, and how far this controller is with it if it is the one; texts are valid until the next event.
 */
struct ow_core_status {
    const char *leader_name; /**< NULL: nobody, or unknown */
    uint64_t fencing_token;  /**< of this controller's term; 0: it does not lead */
    bool key_missing;        /**< the key-value store has shown that nobody holds the leader key */
    bool records_read;       /**< the leader is ready */
    bool settled; /**< the leader has been ready for so long that every live worker has sent it a heartbeat */
    unsigned machines; /**< that the leader knows and that have ever sent a heartbeat */
    unsigned fenced;   /**< those of them that have shown its fencing token */
};
/** Fills in how the controller stands now. */
void ow_core_status(const struct ow_core *core, struct ow_core_status *status);
/** Whether this controller may take the leader key, and how many seconds it leaves a missing one to others.
 */
void ow_core_set_candidacy(struct ow_core *core, bool may_lead, double delay_s);
/** Whether the job is in this controller's copy of the job table. */
bool ow_core_knows_job(const struct ow_core *core, const char *id);
/** Why the job can never run here; NULL: it can, or that is not known yet. */
const char *ow_core_infeasible_reason(const struct ow_core *core, const struct ow_submission *submission);
/** CPUs that the tasks of open jobs wait for, as far as this controller knows. */
double ow_core_waiting_cpus(const struct ow_core *core);
/** The fencing token under which this controller leads; 0: it does not. */
uint64_t ow_core_fencing_token(const struct ow_core *core);

#endif
