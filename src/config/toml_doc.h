/**
 * @file
 * C interface to TOML documents; the only module that uses the C++ library toml++.
 *
 * Values are addressed by paths such as "params.state.rps" and "others[0].area".
 */
#ifndef OW_CONFIG_TOML_DOC_H
#define OW_CONFIG_TOML_DOC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/** A parsed TOML document. */
typedef struct ow_toml_doc ow_toml_doc;

/**
 * Reads and parses a file.
 *
 * @param error  OW_CONFIG_ERROR_UNREADABLE, or OW_CONFIG_ERROR_SYNTAX with the line
 * @return NULL on an error; otherwise to be freed by ow_toml_doc_free()
 */
struct ow_toml_doc *ow_toml_doc_load(const char *path, GError **error);
/** Frees the document; NULL is allowed. */
void ow_toml_doc_free(struct ow_toml_doc *doc);

/** The kind of value at a path. */
enum ow_toml_kind { OW_TOML_NONE, OW_TOML_STRING, OW_TOML_NUMBER, OW_TOML_OTHER };

/** The kind of value at the path; OW_TOML_NONE if there is none. */
enum ow_toml_kind ow_toml_doc_kind(const struct ow_toml_doc *doc, const char *path);
/** The string at the path, owned by the document; NULL if there is none. */
const char *ow_toml_doc_string(const struct ow_toml_doc *doc, const char *path);
/** Reads a float or integer; false, with *out unchanged, if there is none. */
bool ow_toml_doc_number(const struct ow_toml_doc *doc, const char *path, double *out);
/** The length of the array at the path; 0 if there is none. */
size_t ow_toml_doc_count(const struct ow_toml_doc *doc, const char *path);

G_END_DECLS

G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_toml_doc, ow_toml_doc_free)

#endif
