/** @file
 * The idle connections of the HTTP client, by the endpoint that they lead to: thousands may be open.
 *
 * The table points to connections that the client owns: a connection must be removed here before it is freed.
 * Endpoints without idle connections have no entry.
 */
#ifndef OW_IO_IDLE_CONNECTIONS_H
#define OW_IO_IDLE_CONNECTIONS_H

#include <glib.h>

struct ow_client_connection; /* of io/http_client_connection.h */

struct ow_idle_connections;
typedef struct ow_idle_connections ow_idle_connections; /**< for g_autoptr */

/** An empty table, owned by the caller. */
struct ow_idle_connections *ow_idle_connections_new(void);
/** Frees the table, not the connections. */
void ow_idle_connections_free(struct ow_idle_connections *idle);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_idle_connections, ow_idle_connections_free)

/** The connection, which is not in the table, is idle from now on.
 * @param idle the table
 * @param endpoint copied
 * @param connection stays the client's */
void ow_idle_connections_add(struct ow_idle_connections *idle, const char *endpoint,
                             struct ow_client_connection *connection);
/** The connection gets a request, or is closed; it need not be in the table. */
void ow_idle_connections_remove(struct ow_idle_connections *idle, const char *endpoint,
                                struct ow_client_connection *connection);
/** @return an idle connection to the endpoint, the last one used of several, or NULL; it stays in the table
 */
struct ow_client_connection *ow_idle_connections_find(const struct ow_idle_connections *idle,
                                                      const char *endpoint);

#endif
