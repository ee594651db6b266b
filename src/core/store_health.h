/** @file
 * Tracks whether the key-value store answers this controller: time of the last success, duration of a
 * failure, and probes while no other request is sent. Owns `struct ow_store_health`.
 */
#ifndef OW_CORE_STORE_HEALTH_H
#define OW_CORE_STORE_HEALTH_H

#include <stdbool.h>

struct ow_core;
struct ow_store_reply;
struct ow_store_health;

/** Creates the health state of a key-value store without any answer yet; freed by ow_store_health_free().
 * `core` must outlive it. */
struct ow_store_health *ow_store_health_new(struct ow_core *core);
/** Frees the state; no answer to a probe may arrive afterwards. */
void ow_store_health_free(struct ow_store_health *health);
/** Records a reply from the key-value store; status OW_HTTP_STATUS_NONE: no response, or one that can't be
 * read. */
void ow_store_health_note_reply(struct ow_store_health *health, const struct ow_store_reply *reply);
/** Logs one line about the replies since the last call; nothing if there were none. */
void ow_store_health_log_metrics(struct ow_store_health *health);
/** Probes the key-value store if it has not answered for some time. A controller without other requests has
 * only open watches, and these show nothing when it is cut off. */
void ow_store_health_probe(struct ow_store_health *health);
/** Whether the key-value store has answered recently, and has not failed since. */
bool ow_store_health_is_ok(const struct ow_store_health *health);
/** Whether its last answer was successful and arrived less than `within_s` seconds ago. */
bool ow_store_health_has_answered_within(const struct ow_store_health *health, double within_s);
/** Time of its last answer, success or UNAVAILABLE, by the core's clock: either proves that it can be
 * reached. 0: none yet. */
double ow_store_health_last_reachable_at(const struct ow_store_health *health);
/** Whether it has failed long enough to count as lost for this controller. */
bool ow_store_health_is_lost(const struct ow_store_health *health);
/** Whether the last failure was a missing response, not an error status. */
bool ow_store_health_is_silent(const struct ow_store_health *health);

#endif
