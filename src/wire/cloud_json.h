/* Bodies between the service and the cloud. */
#ifndef OW_WIRE_CLOUD_JSON_H
#define OW_WIRE_CLOUD_JSON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>
#include <stddef.h>

/* The cloud's answer with the machine types: struct ow_machine_type each; NULL when malformed. */
GArray *wire_machine_types_decode(const char *text, size_t size);
/* The same from a JSON object, which is also the form kept in the key-value store. */
GArray *wire_machine_types_from_json(const json_t *object);
/* The reverse: a new reference. */
json_t *wire_machine_types_to_json(const GArray *types);

/* A request for machines. */
struct wire_provision_request {
    const char *request; /* its name, by which the cloud knows a repeat */
    const char *type, *zone;
    bool spot;
    unsigned count;
};

/* The body of a request for machines (g_free). */
char *wire_provision_request_encode(const struct wire_provision_request *provision_request);
/* Names of the machines provisioned (a NULL-ended vector), or NULL. */
char **wire_provision_reply_decode(const char *text, size_t size);
/* The body of a request that returns machines (g_free). */
char *wire_terminate_request_encode(const GPtrArray *names);
/* One page of the list of machines: struct ow_listed_machine each; NULL when malformed. *more says whether
   there is another page. */
GArray *wire_machine_list_decode(const char *text, size_t size, bool *more);
/* The path of the page behind the machine `after`, or of the first one if that is NULL or empty (g_free). */
char *wire_machine_list_path(const char *after);

#endif
