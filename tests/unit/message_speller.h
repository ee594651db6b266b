/* Writes a JSON message in other words that mean the same. */
#ifndef TESTS_MESSAGE_SPELLER_H
#define TESTS_MESSAGE_SPELLER_H

#include "json_interfaces.h"

#include <glib.h>

/* Returns the interface's message with its members in another order, unknown members, other white space, and
 * other spellings of names, strings and numbers, all drawn from `random` (g_free). */
char *message_respell(const struct json_interface *interface, GRand *random);

#endif
