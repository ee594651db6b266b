/* The worker's side of the protocol between workers and the service. */
#ifndef OW_WIRE_AGENT_JSON_H
#define OW_WIRE_AGENT_JSON_H

#include "model/submission.h"
#include "model/worker.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stddef.h>

/* Commands for a worker, from the answer to a heartbeat or from a request to its own address. */
struct wire_command_batch {
    bool has_fencing_token, has_incarnation;
    uint64_t fencing_token, incarnation;
    GArray *commands; /* struct ow_worker_command */
};

/* A worker's report (g_free). */
char *wire_heartbeat_encode(const struct ow_heartbeat *heartbeat);
/* NULL when malformed; a command that is not known makes it so. */
struct wire_command_batch *wire_worker_commands_decode(const char *text, size_t size);
void wire_command_batch_free(struct wire_command_batch *orders);
/* The controller named by a misdirected report's answer (g_free); NULL: none. */
char *wire_redirect_decode(const char *text, size_t size);

/* A job as its user uploads it for the machines: its submission and the command that each task runs. */
struct wire_job_description {
    struct ow_submission *submission;
    char **command; /* at least one word */
};

/* NULL when malformed. */
struct wire_job_description *wire_job_description_decode(const char *text, size_t size);
void wire_job_description_free(struct wire_job_description *description);

#endif
