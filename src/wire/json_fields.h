/** @file
 * The fields that a message has, so that a parser can skip all others without looking at their values.
 */
#ifndef OW_WIRE_JSON_FIELDS_H
#define OW_WIRE_JSON_FIELDS_H

#include <stddef.h>

struct wire_json_fields;

/** A known field of an object. */
struct wire_json_field {
    const char *name;
    size_t name_bytes;
    /** Fields of the object in this field, or of each object of the array in it; NULL: neither. */
    const struct wire_json_fields *members;
};

/** The known fields of an object. Constant and static: nothing to free. */
struct wire_json_fields {
    const struct wire_json_field *fields;
    size_t count;
};

/** A field with a string, number, boolean, or an array of these. `NAME` is a string literal. */
#define WIRE_JSON_SCALAR(NAME)                                                                               \
    {                                                                                                        \
        .name = (NAME), .name_bytes = sizeof(NAME) - 1                                                       \
    }

/** A field with an object, or an array of objects, whose fields are `MEMBERS`. */
#define WIRE_JSON_OBJECTS(NAME, MEMBERS)                                                                     \
    {                                                                                                        \
        .name = (NAME), .name_bytes = sizeof(NAME) - 1, .members = (MEMBERS)                                 \
    }

/** Initializes struct wire_json_fields with an array of struct wire_json_field. */
#define WIRE_JSON_FIELDS(FIELDS)                                                                             \
    {                                                                                                        \
        .fields = (FIELDS), .count = sizeof(FIELDS) / sizeof(FIELDS)[0]                                      \
    }

/**
 * Every field is known, at every level: for stored values, whose kind is known only by their key, and for
 * objects whose names are data. Values are kept down to WIRE_JSON_LEVELS_MAX; a member whose name is repeated
 * is kept in a form that no wire_json_get function accepts.
 */
extern const struct wire_json_fields wire_json_any_fields;

/** Maximum number of nested objects and arrays that are kept where every field is known. */
enum { WIRE_JSON_LEVELS_MAX = 16 };

#endif
