/* Reads messages of each interface, for tests. A function returns all that it has read as text (g_free), or
 * NULL if the message is refused. */
#ifndef TESTS_JSON_INTERFACE_READERS_H
#define TESTS_JSON_INTERFACE_READERS_H

#include <stddef.h>

char *json_read_submission(const char *text, size_t size);
char *json_read_description(const char *text, size_t size);
char *json_read_heartbeat(const char *text, size_t size);
char *json_read_commands(const char *text, size_t size);
char *json_read_redirect(const char *text, size_t size);
char *json_read_cloud_types(const char *text, size_t size);
char *json_read_cloud_list(const char *text, size_t size);
char *json_read_cloud_machines(const char *text, size_t size);
char *json_read_key(const char *text, size_t size);
char *json_read_key_list(const char *text, size_t size);
char *json_read_watch(const char *text, size_t size);
char *json_read_transaction(const char *text, size_t size);
char *json_read_conflict(const char *text, size_t size);
char *json_read_missing_key(const char *text, size_t size);
char *json_read_lease(const char *text, size_t size);

#endif
