/* Requests that wait for an answer from the key-value store, the cloud or a worker. */
#ifndef OW_CORE_PENDING_CALLS_H
#define OW_CORE_PENDING_CALLS_H

#include <stdint.h>

struct ow_pending_calls;
struct ow_event;

/* `data` is freed by the table after the call, or when the owner leaves. */
typedef void (*ow_call_fn)(void *owner, void *data, const struct ow_event *answer);

struct ow_pending_calls *ow_pending_calls_new(void);
void ow_pending_calls_free(struct ow_pending_calls *calls);
uint64_t ow_pending_calls_add(struct ow_pending_calls *calls, ow_call_fn fn, void *owner, void *data,
                              void (*free_data)(void *));
void ow_pending_calls_answer(struct ow_pending_calls *calls, uint64_t tag, const struct ow_event *answer);
/* Answers to a leader that has stepped down must reach nobody. */
void ow_pending_calls_forget(struct ow_pending_calls *calls, const void *owner);

#endif
