#include "io/http_client.h"

#include "io/http_client_connection.h"
#include "io/idle_connections.h"

#include <string.h>

struct ow_http_client {
    struct ow_loop *loop;
    ow_http_reply_fn reply;
    void *owner;                      /* of `reply` */
    GPtrArray *connections;           /* struct ow_client_connection in any state, owned */
    struct ow_idle_connections *idle; /* the IDLE connections */
    unsigned connections_max;         /* idle connections in excess of this are closed */
};

/* ---- connections ---- */

/* Free function of the connections array. */
static void release_connection(gpointer item)
{
    struct ow_client_connection *connection = item;
    struct ow_http_client *client = connection->owner;
    ow_idle_connections_remove(client->idle, connection->endpoint, connection);
    ow_client_connection_free(connection);
}

static void close_connection(struct ow_http_client *client, struct ow_client_connection *connection)
{
    g_ptr_array_remove_fast(client->connections, connection);
}

/* Handles the end of a request or connection; `owner` is the client. */
static void handle_end(void *owner, struct ow_client_connection *connection,
                       const struct ow_client_outcome *outcome)
{
    struct ow_http_client *client = owner;
    if (outcome->is_reusable)
        ow_idle_connections_add(client->idle, connection->endpoint, connection);
    else
        close_connection(client, connection);
    if (outcome->has_request)
        client->reply(client->owner, outcome->tag, outcome->status, outcome->body, outcome->size);
}

static struct ow_client_connection *longest_idle(const struct ow_http_client *client)
{
    struct ow_client_connection *longest = NULL;
    for (guint i = 0; i < client->connections->len; i++) {
        struct ow_client_connection *connection = g_ptr_array_index(client->connections, i);
        if (connection->state == OW_CLIENT_CONNECTION_IDLE &&
            (longest == NULL || connection->deadline < longest->deadline))
            longest = connection;
    }
    return longest;
}

/* Closes the connection that has been idle for longest if there is no room for another one. Returns whether
   there is room. */
static bool make_room(struct ow_http_client *client)
{
    if (client->connections->len < client->connections_max)
        return true;
    struct ow_client_connection *connection = longest_idle(client);
    if (connection != NULL)
        close_connection(client, connection);
    return connection != NULL && client->connections->len < client->connections_max;
}

static struct ow_client_connection *open_connection(struct ow_http_client *client, const char *endpoint)
{
    struct ow_client_connection *connection =
        ow_client_connection_new(client->loop, endpoint, handle_end, client);
    g_ptr_array_add(client->connections, connection);
    return connection;
}

/* Calls a function for every connection, in reverse order. The function may close this or other connections
   (as a consequence of a reply); some connections may then be skipped or visited twice. */
static void for_each_connection(struct ow_http_client *client,
                                void (*visit)(struct ow_client_connection *connection, const void *argument),
                                const void *argument)
{
    for (guint i = client->connections->len; i > 0; i--) {
        if (i <= client->connections->len)
            visit(g_ptr_array_index(client->connections, i - 1), argument);
    }
}

/* ---- the client ---- */

struct ow_http_client *ow_http_client_new(struct ow_loop *loop, unsigned connections_max,
                                          ow_http_reply_fn reply, void *owner)
{
    struct ow_http_client *client = g_new0(struct ow_http_client, 1);
    client->loop = loop;
    client->connections_max = connections_max;
    client->reply = reply;
    client->owner = owner;
    client->connections = g_ptr_array_new_with_free_func(release_connection);
    client->idle = ow_idle_connections_new();
    return client;
}

void ow_http_client_free(struct ow_http_client *client)
{
    if (client == NULL)
        return;
    g_ptr_array_free(client->connections, TRUE);
    ow_idle_connections_free(client->idle);
    g_free(client);
}

void ow_http_client_send(struct ow_http_client *client, const char *endpoint, const char *method,
                         const char *path, const char *body, double timeout_s, uint64_t tag)
{
    const struct ow_client_request request = {
        .method = method,
        .path = path,
        .body = body,
        .timeout_s = timeout_s,
        .tag = tag,
    };
    struct ow_client_connection *connection = ow_idle_connections_find(client->idle, endpoint);
    if (connection != NULL) {
        ow_idle_connections_remove(client->idle, endpoint, connection);
    } else {
        /* A caller that has not checked for room gets a connection even beyond the maximum. */
        make_room(client);
        connection = open_connection(client, endpoint);
    }
    ow_client_connection_send(connection, &request);
}

static void advance_if_to(struct ow_client_connection *connection, const void *endpoint)
{
    if (connection->state == OW_CLIENT_CONNECTION_BUSY && strcmp(connection->endpoint, endpoint) == 0)
        ow_client_connection_advance(connection);
}

void ow_http_client_advance(struct ow_http_client *client, const char *endpoint)
{
    for_each_connection(client, advance_if_to, endpoint);
}

static void fail_if_unsent(struct ow_client_connection *connection, const void *argument)
{
    (void)argument;
    if (connection->out->len > 0)
        ow_client_connection_fail(connection);
}

void ow_http_client_drop_unsent(struct ow_http_client *client)
{
    for_each_connection(client, fail_if_unsent, NULL);
}

void ow_http_client_set_connections_max(struct ow_http_client *client, unsigned connections_max)
{
    client->connections_max = connections_max;
}

bool ow_http_client_has_room(struct ow_http_client *client, const char *endpoint)
{
    return ow_idle_connections_find(client->idle, endpoint) != NULL || make_room(client);
}

/* Closes excess idle connections, so that connections to many machines don't exhaust the sockets that
   heartbeats need. */
static void close_surplus(struct ow_http_client *client)
{
    while (client->connections->len > client->connections_max) {
        struct ow_client_connection *connection = longest_idle(client);
        if (connection == NULL)
            return;
        close_connection(client, connection);
    }
}

static void check_deadline(struct ow_client_connection *connection, const void *now)
{
    ow_client_connection_check_deadline(connection, *(const double *)now);
}

void ow_http_client_sweep(struct ow_http_client *client, double now)
{
    close_surplus(client);
    for_each_connection(client, check_deadline, &now);
}
