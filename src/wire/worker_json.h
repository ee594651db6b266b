/* Bodies between workers and the service. */
#ifndef OW_WIRE_WORKER_JSON_H
#define OW_WIRE_WORKER_JSON_H

#include "core/types.h"

#include <stddef.h>

/* NULL when malformed. */
struct ow_report *wire_report_parse(const char *text, size_t size);
/* The answer to a report. */
char *wire_worker_commands(uint64_t token, const GArray *commands);
/* The body of a direct command. */
char *wire_direct_commands(uint64_t token, uint64_t session, const GArray *commands);
/* Where to report instead; `controller` NULL: unknown. */
char *wire_misdirected(const char *controller);

#endif
