/* Idle connections of the HTTP client, by the endpoint that they lead to: thousands may be open. */
#ifndef OW_IO_IDLE_CONNECTIONS_H
#define OW_IO_IDLE_CONNECTIONS_H

struct ow_client_connection; /* of http_client.c */
struct ow_idle_connections;

struct ow_idle_connections *ow_idle_connections_new(void);
/* Frees the table, not the connections. */
void ow_idle_connections_free(struct ow_idle_connections *idle);
/* The connection, which is not in the table, is idle from now on. */
void ow_idle_connections_add(struct ow_idle_connections *idle, const char *endpoint,
                             struct ow_client_connection *connection);
/* The connection gets a request, or is closed; it need not be in the table. */
void ow_idle_connections_remove(struct ow_idle_connections *idle, const char *endpoint,
                                struct ow_client_connection *connection);
/* An idle connection to the endpoint, the last one used of several, or NULL. It stays in the table. */
struct ow_client_connection *ow_idle_connections_find(const struct ow_idle_connections *idle,
                                                      const char *endpoint);

#endif
