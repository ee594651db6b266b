/** @file
 * Tracks whether the key-value store answers this controller: time of the last success, duration of a
 * failure, and probes while no other request is sent. Owns `struct ow_store_health`.
 */
#ifndef OW_CORE_STORE_HEALTH_H
#define OW_CORE_STORE_HEALTH_H

#include <stdbool.h>

struct ow_core;
struct ow_store_health;

/** The health of a key-value store that has not been asked yet; freed by ow_store_health_free(). `core` must
 * outlive it. */
struct ow_store_health *ow_store_health_new(struct ow_core *core);
/** Frees it. No answer to a probe may come after that. */
void ow_store_health_free(struct ow_store_health *health);
/** Notes the HTTP status of an answer from the key-value store; 0: there was no answer. */
void ow_store_health_note_reply(struct ow_store_health *health, int status);
/** Probes the key-value store if it has not been heard of for some time. A controller without requests of its
 * own has open watches alone, and those give no answer when it is cut off. */
void ow_store_health_probe(struct ow_store_health *health);
/** Whether the key-value store has answered recently, and not failed since. */
bool ow_store_health_is_ok(const struct ow_store_health *health);
/** Whether its last answer was good and came less than `within_s` seconds ago. */
bool ow_store_health_has_answered_within(const struct ow_store_health *health, double within_s);
/** When it last answered or refused, by the core's clock: either shows that it is in reach. 0: never. */
double ow_store_health_last_reachable_at(const struct ow_store_health *health);
/** Whether it has failed for so long that it counts as lost to this controller. */
bool ow_store_health_is_lost(const struct ow_store_health *health);
/** Whether the last failure was the lack of an answer, rather than a refusal. */
bool ow_store_health_is_silent(const struct ow_store_health *health);

#endif
