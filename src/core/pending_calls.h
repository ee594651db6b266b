/** @file
 * Requests that wait for a reply from the key-value store, the cloud or a worker, with the callback for each.
 * A request is identified by its tag: the effect that carries the request has it, and so has the event with
 * the reply.
 */
#ifndef OW_CORE_PENDING_CALLS_H
#define OW_CORE_PENDING_CALLS_H

#include <stdint.h>

struct ow_event;
struct ow_pending_calls;

/** Handles the answer to a call. `owner` and `data` are those of ow_pending_calls_add(); the event remains
 * owned by the caller. */
typedef void (*ow_call_fn)(void *owner, void *data, const struct ow_event *answer);

/** Creates an empty table of calls; freed by ow_pending_calls_free(). */
struct ow_pending_calls *ow_pending_calls_new(void);
/** Frees the table and the data of all calls, whose callbacks are not called. NULL is allowed. */
void ow_pending_calls_free(struct ow_pending_calls *calls);
/** Adds a call and returns its tag, which is never 0. `free_data` (NULL: nothing to free) frees `data` once
 * the call has been answered or forgotten. */
uint64_t ow_pending_calls_add(struct ow_pending_calls *calls, ow_call_fn fn, void *owner, void *data,
                              void (*free_data)(void *));
/** Calls the callback of the call with this tag; no effect if the call has been forgotten. */
void ow_pending_calls_answer(struct ow_pending_calls *calls, uint64_t tag, const struct ow_event *answer);
/** Forgets all calls of an owner that is about to be freed: replies to a leader that has stepped down must be
 * ignored. */
void ow_pending_calls_forget(struct ow_pending_calls *calls, const void *owner);

#endif
