/** @file
 * Incoming HTTP requests of users, operators and workers: converts them to events for the shard manager or
 * answers them directly, and sends the answers that the core gives later. Part of the daemon.
 */
#ifndef OW_IO_INCOMING_H
#define OW_IO_INCOMING_H

#include "io/http_server.h"
#include "model/effect.h"

struct ow_daemon;

/** The handler of the HTTP server (ow_http_handler): routes a request to its handler.
 * @param owner the daemon
 * @param request valid during the call only */
void ow_incoming_handle(void *owner, const struct ow_http_request *request);
/** Sends the answer that the effect describes. Effects that are not answers are ignored. */
void ow_incoming_answer(struct ow_daemon *daemon, const struct ow_effect *effect);

#endif
