/* The interfaces through which JSON comes in, each with a sound message and a way to read it, for tests that
 * change the message's text. */
#ifndef TESTS_JSON_INTERFACES_H
#define TESTS_JSON_INTERFACES_H

#include <stdbool.h>
#include <stddef.h>

struct json_interface {
    const char *name;
    const char *message;
    /* Reads a message; returns all that was read as text (g_free), or NULL if the message is refused. */
    char *(*read)(const char *text, size_t size);
    /* The objects of the message, in its order, in which the names are data and not fields: one bit each. */
    unsigned maps;
};

extern const struct json_interface json_interfaces[];
extern const size_t json_interfaces_count;

/* Never NULL: an unknown name ends the test. */
const struct json_interface *json_interface_find(const char *name);

/* The number of objects of the message that have fields. */
size_t json_interface_places(const struct json_interface *interface);

/* The message with a member in front of the others of an object (g_free). */
char *json_interface_insert(const struct json_interface *interface, size_t place, const char *member);

#endif
