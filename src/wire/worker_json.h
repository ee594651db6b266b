/* Bodies between workers and the service. */
#ifndef OW_WIRE_WORKER_JSON_H
#define OW_WIRE_WORKER_JSON_H

#include "model/worker.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stddef.h>

/* Reads "<job>/<task>"; `job` holds OW_ID_MAX + 1 bytes. */
bool wire_task_name_decode(const char *text, char *job, uint32_t *task);
/* A worker's report, which the caller owns; NULL when malformed. */
struct ow_heartbeat *wire_heartbeat_decode(const char *text, size_t size);
/* The answer to a heartbeat (g_free): struct ow_worker_command each. */
char *wire_worker_commands_encode(uint64_t fencing_token, const GArray *commands);
/* The body of commands sent to a worker's own address, meant for one incarnation of it (g_free). */
char *wire_direct_commands_encode(uint64_t fencing_token, uint64_t incarnation, const GArray *commands);
/* The answer to a heartbeat that should go to another controller (g_free); `controller` NULL: unknown. */
char *wire_redirect_encode(const char *controller);

#endif
