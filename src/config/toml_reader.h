/**
 * @file
 * Reads checked values from a TOML document, and keeps the first error.
 *
 * Invariant: a read after an error is harmless and changes nothing in it, so that a caller reads all fields
 * and looks at `error` once. Every message begins with the path of its field.
 */
#ifndef OW_CONFIG_TOML_READER_H
#define OW_CONFIG_TOML_READER_H

#include "config/config_error.h"
#include "config/toml_doc.h"

/** The state of reading one document; owned by who reads. */
struct ow_toml_reader {
    const struct ow_toml_doc *doc;
    GError *error; /**< the first one, in the domain OW_CONFIG_ERROR; NULL: none so far */
};

/** Keeps "path: reason" as the error unless there is one already. */
void ow_toml_reader_fail(struct ow_toml_reader *reader, enum ow_config_error code, const char *path,
                         const char *reason);
/** The string at the path, which must not be empty (g_free); never NULL: an empty one after an error. */
char *ow_toml_read_text(struct ow_toml_reader *reader, const char *path);
/** The same, which must be ADDRESS:PORT. */
char *ow_toml_read_endpoint(struct ow_toml_reader *reader, const char *path);
/** The number at the path, which must be finite and from `least` to `most`; unspecified after an error. */
double ow_toml_read_number(struct ow_toml_reader *reader, const char *path, double min, double max);
/** The path of a field of an array's item, "array[index].field" (g_free). */
char *ow_toml_path(const char *array, size_t index, const char *field);

#endif
