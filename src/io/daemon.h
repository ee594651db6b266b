/** @file
 * The daemon: the I/O layer of a controller process. It converts requests and replies to events for the shard
 * manager, and performs the effects that the shard manager returns.
 *
 * It owns the sockets and the shard manager and makes no decisions. Everything runs on the thread of the
 * event loop.
 */
#ifndef OW_IO_DAEMON_H
#define OW_IO_DAEMON_H

#include "io/loop.h"
#include "sharding/sharding_settings.h"

#include <glib.h>

/** Error domain of the daemon, for GError. */
#define OW_DAEMON_ERROR (ow_daemon_error_quark())
/** Returns the quark of OW_DAEMON_ERROR. */
GQuark ow_daemon_error_quark(void);

/** Error codes in the domain OW_DAEMON_ERROR. */
enum ow_daemon_error {
    OW_DAEMON_ERROR_LISTEN, /**< listening on an endpoint failed; the message names it */
};

/** The daemon. The creator owns it and frees it with ow_daemon_free(). */
struct ow_daemon;
typedef struct ow_daemon ow_daemon; /**< for g_autoptr */

/** Creates a daemon. It serves requests and connects to the other controllers once the loop runs with
 * ow_daemon_round.
 * @param loop must outlive the daemon, and must not be shared with another daemon
 * @param settings,tuning,sharding must outlive the daemon
 * @param error set on failure (OW_DAEMON_ERROR); may be NULL
 * @return NULL if an endpoint can't be listened on */
struct ow_daemon *ow_daemon_new(struct ow_loop *loop, const struct ow_settings *settings,
                                const struct ow_tuning *tuning, const struct ow_sharding_settings *sharding,
                                GError **error);
/** Closes all sockets and frees the daemon. The loop must not run afterwards. NULL is not allowed. */
void ow_daemon_free(struct ow_daemon *daemon);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_daemon, ow_daemon_free)

/** One round of the event loop (ow_round_fn): runs one step of the shard manager and performs its effects.
 * @param owner the daemon
 * @param now monotonic time in seconds
 * @return for how many seconds the loop may wait before the next round */
double ow_daemon_round(void *owner, double now);

#endif
