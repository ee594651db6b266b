/* Requests that wait for an answer from the state service, the cloud or a worker. */
#ifndef OW_CORE_CALLS_H
#define OW_CORE_CALLS_H

#include <stdint.h>

struct ow_calls;
struct ow_command;

/* `data` is freed by the table after the call, or when the owner leaves. */
typedef void (*ow_call_fn)(void *owner, void *data, const struct ow_command *answer);

struct ow_calls *ow_calls_new(void);
void ow_calls_free(struct ow_calls *calls);
uint64_t ow_calls_add(struct ow_calls *calls, ow_call_fn fn, void *owner, void *data,
                      void (*free_data)(void *));
void ow_calls_answer(struct ow_calls *calls, uint64_t tag, const struct ow_command *answer);
/* Answers to a coordinator that has stepped down must reach nobody. */
void ow_calls_forget(struct ow_calls *calls, const void *owner);

#endif
