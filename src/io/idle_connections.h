/** @file
 * Index of the HTTP client's idle connections by endpoint. There may be thousands of them.
 *
 * The index doesn't own the connections: the client must remove a connection before freeing it. Endpoints
 * without idle connections have no entry.
 */
#ifndef OW_IO_IDLE_CONNECTIONS_H
#define OW_IO_IDLE_CONNECTIONS_H

#include <glib.h>

struct ow_client_connection; /* of io/http_client_connection.h */

/** The idle connections by endpoint; owned by the HTTP client. */
struct ow_idle_connections;
typedef struct ow_idle_connections ow_idle_connections; /**< for g_autoptr */

/** Creates an empty index; the caller frees it with ow_idle_connections_free(). */
struct ow_idle_connections *ow_idle_connections_new(void);
/** Frees the index, not the connections. NULL is not allowed. */
void ow_idle_connections_free(struct ow_idle_connections *idle);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_idle_connections, ow_idle_connections_free)

/** Adds a connection that has become idle and is not in the index.
 * @param idle the index
 * @param endpoint copied
 * @param connection not owned by the index */
void ow_idle_connections_add(struct ow_idle_connections *idle, const char *endpoint,
                             struct ow_client_connection *connection);
/** Removes a connection that gets a request or is closed. Does nothing if it is not in the index. */
void ow_idle_connections_remove(struct ow_idle_connections *idle, const char *endpoint,
                                struct ow_client_connection *connection);
/** Finds an idle connection to the endpoint, and leaves it in the index.
 * @return the one added last; NULL if there is none */
struct ow_client_connection *ow_idle_connections_find(const struct ow_idle_connections *idle,
                                                      const char *endpoint);

#endif
