/* Bodies between the service and the cloud. */
#ifndef OW_WIRE_CLOUD_JSON_H
#define OW_WIRE_CLOUD_JSON_H

#include "core/types.h"

#include <jansson.h>
#include <stddef.h>

/* struct ow_machine_type each; NULL when malformed. Also the form kept in the state service. */
GArray *wire_types_parse(const char *text, size_t size);
GArray *wire_types_from(const json_t *object);
json_t *wire_types_json(const GArray *types);

struct ow_rental {
    const char *request, *type, *zone;
    bool spot;
    unsigned count;
};

char *wire_rental(const struct ow_rental *rental);
/* Names of the machines rented (an NULL-ended vector), or NULL. */
char **wire_rented_parse(const char *text, size_t size);
char *wire_delete(const GPtrArray *names);
/* struct ow_listed_machine each; NULL when malformed. */
GArray *wire_list_parse(const char *text, size_t size, bool *more);
char *wire_list_path(const char *after);

#endif
