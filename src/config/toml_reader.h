/**
 * @file
 * Reads and validates values of a TOML document, and keeps the first error.
 *
 * Invariant: reads after an error are safe and don't replace it, so that a caller can read all fields and
 * check `error` once. Every message starts with the path of the field.
 */
#ifndef OW_CONFIG_TOML_READER_H
#define OW_CONFIG_TOML_READER_H

#include "config/config_error.h"
#include "config/toml_doc.h"

/** The state of reading one document; owned by the caller. */
struct ow_toml_reader {
    const struct ow_toml_doc *doc;
    GError *error; /**< the first one, in the domain OW_CONFIG_ERROR; NULL: none so far */
};

/** Sets the error to "path: reason" unless one is set already. */
void ow_toml_reader_fail(struct ow_toml_reader *reader, enum ow_config_error code, const char *path,
                         const char *reason);
/** The string at the path, which must not be empty (g_free). Never NULL; an empty string after an error. */
char *ow_toml_read_text(struct ow_toml_reader *reader, const char *path);
/** Like ow_toml_read_text(), but the string must be ADDRESS:PORT. */
char *ow_toml_read_endpoint(struct ow_toml_reader *reader, const char *path);
/** The number at the path, which must be finite and from `min` to `max`; unspecified after an error. */
double ow_toml_read_number(struct ow_toml_reader *reader, const char *path, double min, double max);
/** The path of a field of an array element, "array[index].field" (g_free). */
char *ow_toml_path(const char *array, size_t index, const char *field);

#endif
