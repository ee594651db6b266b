/** @file
 * The daemon: the I/O of a controller's process. It converts requests and replies to events for the shard
 * manager, and carries out the effects that this returns.
 *
 * It owns the sockets and the shard manager and makes no decisions. Everything runs on the thread of the
 * event loop.
 */
#ifndef OW_IO_DAEMON_H
#define OW_IO_DAEMON_H

#include "io/loop.h"
#include "sharding/sharding_settings.h"

#include <glib.h>

/** The errors of the daemon. */
#define OW_DAEMON_ERROR (ow_daemon_error_quark())
/** The domain of the daemon's errors. */
GQuark ow_daemon_error_quark(void);

/** The codes of OW_DAEMON_ERROR. */
enum ow_daemon_error {
    OW_DAEMON_ERROR_LISTEN, /**< an address can't be listened on; the message says which */
};

/** The daemon. Owned by who creates it. */
struct ow_daemon;
typedef struct ow_daemon ow_daemon; /**< for g_autoptr */

/** A daemon that listens, and connects to the other controllers, as soon as the loop runs with
 * ow_daemon_round.
 * @param loop must outlive the daemon, and may serve only one
 * @param settings,tuning,sharding must outlive the daemon
 * @param error set if it can't listen (OW_DAEMON_ERROR); may be NULL
 * @return NULL if it can't listen */
struct ow_daemon *ow_daemon_new(struct ow_loop *loop, const struct ow_settings *settings,
                                const struct ow_tuning *tuning, const struct ow_sharding_settings *sharding,
                                GError **error);
/** Closes all sockets. The loop must not run any more. NULL is not allowed. */
void ow_daemon_free(struct ow_daemon *daemon);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_daemon, ow_daemon_free)

/** The round of the event loop (ow_round_fn): one step of the shard manager, whose effects are carried out.
 * @param owner the daemon
 * @param now the monotonic time in seconds */
double ow_daemon_round(void *owner, double now);

#endif
