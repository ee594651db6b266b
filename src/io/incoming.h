/** @file
 * Requests of users, operators and workers: each becomes an event for the shard manager, or is answered at
 * once; and the answers to them. Part of the daemon. */
#ifndef OW_IO_INCOMING_H
#define OW_IO_INCOMING_H

#include "io/http_server.h"
#include "model/effect.h"

struct ow_daemon;

/** The handler of the HTTP server (ow_http_handler): finds the route of a request and follows it.
 * @param owner the daemon
 * @param request valid during the call only */
void ow_incoming_handle(void *owner, const struct ow_http_request *request);
/** Answers a request as the effect says. Effects that answer nobody are ignored. */
void ow_incoming_answer(struct ow_daemon *daemon, const struct ow_effect *effect);

#endif
