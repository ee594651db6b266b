/** @file Connections that are always ready to be read, as those of many workers on a busy controller. */
#ifndef OW_TESTS_READY_CONNECTIONS_H
#define OW_TESTS_READY_CONNECTIONS_H

#include "io/loop.h"

#include <glib.h>

/** Adds this number of connections to the loop. They stay ready, because nobody reads them. */
GPtrArray *ready_connections_open(struct ow_loop *loop, unsigned count);
/** Closes and frees the connections; to be called before the loop is freed. */
void ready_connections_close(struct ow_loop *loop, GPtrArray *connections);

#endif
