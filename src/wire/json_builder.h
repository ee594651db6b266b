/** @file
 * Builds a jansson value from the events of a parser. Only known fields become values; the others are
 * skipped, whatever their values are.
 *
 * The depth of what is built is bounded by the depth of the known fields, so that jansson, which frees values
 * by recursion, never meets a deep one.
 */
#ifndef OW_WIRE_JSON_BUILDER_H
#define OW_WIRE_JSON_BUILDER_H

#include "wire/json_fields.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** The value that is built, and where in it the parser is. */
struct wire_json_builder {
    const struct wire_json_fields *root_fields; /**< set by the owner; the rest by the functions below */
    json_t *root;                               /**< owned; NULL until it has begun */
    GArray *levels;                             /**< open containers that are kept, innermost last */
    size_t skipped_levels;                      /**< open containers of a value that is skipped */
    GString *name;                              /**< of the member whose value comes next */
    bool is_member_known;                       /**< that member has a known name */
    const struct wire_json_fields *members;     /**< of that member's value */
};

/** Prepares a builder. @param fields known fields of the root */
void wire_json_builder_init(struct wire_json_builder *builder, const struct wire_json_fields *fields);

/** Frees what the builder owns, except for the root, which it returns: the caller's reference, or NULL. */
json_t *wire_json_builder_finish(struct wire_json_builder *builder);

/** Whether no object or array is open. */
bool wire_json_builder_is_at_root(const struct wire_json_builder *builder);

/** Whether the next value is part of what is kept. The other functions must be called for it even if it is
 * not. */
bool wire_json_builder_keeps_next(const struct wire_json_builder *builder);

/** Begins a member of the innermost object. @return false if that object has this known field already */
bool wire_json_builder_begin_member(struct wire_json_builder *builder, const char *name, size_t size);

/** Begins an object or an array. The root must be an object. */
void wire_json_builder_begin_container(struct wire_json_builder *builder, bool is_object);

/** Ends the innermost object or array. */
void wire_json_builder_end_container(struct wire_json_builder *builder);

/** Adds a string, number, boolean or null that is kept. @param value the reference is taken; NULL: it can't
 * be represented, and no wire_json_get function accepts what is put in its place */
void wire_json_builder_add_scalar(struct wire_json_builder *builder, json_t *value);

#endif
