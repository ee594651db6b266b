#include "client/exchange.h"

#include "io/http_client.h"
#include "io/loop.h"

#include <stdbool.h>

/* Timeout of a request, and the interval at which it is checked. */
static const double REQUEST_TIMEOUT_S = 5;
static const double SWEEP_INTERVAL_S = 0.1;

/* One request over one connection; its tag is not evaluated. */
enum { CONNECTIONS_MAX = 1, REQUEST_TAG = 1 };

/* The response, filled in when it arrives or the request fails. */
struct response {
    bool has_ended;
    int status;
    GString *body; /* owned by the caller */
};

/* The reply function of the HTTP client; `owner` is the response. */
static void handle_reply(void *owner, uint64_t tag, int status, const char *body, size_t size)
{
    struct response *response = owner;
    (void)tag;
    response->has_ended = true;
    response->status = status;
    g_string_append_len(response->body, body, (gssize)size);
}

/* The loop's round function; `owner` is the HTTP client. */
static double sweep(void *owner, double now)
{
    ow_http_client_sweep(owner, now);
    return SWEEP_INTERVAL_S;
}

int ow_exchange(const char *server, const struct ow_exchange_request *request, GString *body)
{
    struct response response = {.body = body};
    g_autoptr(ow_loop) loop = ow_loop_new();
    g_autoptr(ow_http_client) client = ow_http_client_new(loop, CONNECTIONS_MAX, handle_reply, &response);
    ow_http_client_send(client, server, request->method, request->path, request->body, REQUEST_TIMEOUT_S,
                        REQUEST_TAG);
    while (!response.has_ended)
        ow_loop_once(loop, sweep, client);
    return response.status;
}
