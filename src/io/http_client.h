/* The HTTP client: keeps connections per endpoint and reports every request's end exactly once. */
#ifndef OW_IO_HTTP_CLIENT_H
#define OW_IO_HTTP_CLIENT_H

#include "io/loop.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ow_http_client;

/* Reports the end of the request `tag`. Status 0 (OW_HTTP_STATUS_NONE): no response; the request might have
   been carried out. The body is valid during the call only. */
typedef void (*ow_http_reply_fn)(void *owner, uint64_t tag, int status, const char *body, size_t size);

/* `most` connections are kept open at most; `owner` is handed to `reply`. */
struct ow_http_client *ow_http_client_new(struct ow_loop *loop, unsigned most, ow_http_reply_fn reply,
                                          void *owner);
/* Closes all connections without reporting their requests; NULL is allowed. */
void ow_http_client_free(struct ow_http_client *client);
/* Sends a request to ADDRESS:PORT. `body` is JSON text or NULL. The reply never comes from inside this call.
 */
void ow_http_client_send(struct ow_http_client *client, const char *endpoint, const char *method,
                         const char *path, const char *body, double timeout_s, uint64_t tag);
/* Takes in what has come from the endpoint, without waiting for the loop to get there. */
void ow_http_client_read_from(struct ow_http_client *client, const char *endpoint);
/* Closes the connections that still have bytes to send: their requests end without a response. */
void ow_http_client_drop_unsent(struct ow_http_client *client);
/* From now on `most` connections are kept open at most. */
void ow_http_client_bound(struct ow_http_client *client, unsigned most);
/* Whether a request to the endpoint stays within the bound. The connection idle for longest makes room. */
bool ow_http_client_has_room(struct ow_http_client *client, const char *endpoint);
/* Ends requests that are out of time and closes connections long unused. */
void ow_http_client_sweep(struct ow_http_client *client, double now);

#endif
