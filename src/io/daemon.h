/* The serving process: turns requests into events for the core, and its effects into requests. */
#ifndef OW_IO_DAEMON_H
#define OW_IO_DAEMON_H

#include "io/loop.h"
#include "sharding/sharding_settings.h"

#include <glib.h>

struct ow_daemon;

/** The errors of the daemon. */
#define OW_DAEMON_ERROR (ow_daemon_error_quark())
GQuark ow_daemon_error_quark(void);

enum ow_daemon_error {
    OW_DAEMON_ERROR_LISTEN, /**< an address can't be listened on; the message says which */
};

/* NULL and an error of the domain OW_DAEMON_ERROR if an address can't be listened on. */
struct ow_daemon *ow_daemon_new(struct ow_loop *loop, const struct ow_settings *settings,
                                const struct ow_tuning *tuning, const struct ow_sharding_settings *sharding,
                                GError **error);
void ow_daemon_free(struct ow_daemon *daemon);
/* The round of the event loop (ow_round_fn): lets the core run and carries out its effects. `owner` is the
   service. */
double ow_daemon_round(void *owner, double now);

#endif
