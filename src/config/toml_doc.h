/**
 * @file
 * Reads a TOML file; the only wrapper of the C++ library behind it.
 *
 * Paths look like "params.state.rps" and "others[0].area".
 */
#ifndef OW_CONFIG_TOML_DOC_H
#define OW_CONFIG_TOML_DOC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/** A file that has been read. */
typedef struct toml_doc toml_doc;

/**
 * Reads the whole file.
 *
 * @param error  OW_CONFIG_ERROR_UNREADABLE, or OW_CONFIG_ERROR_SYNTAX with the line
 * @return NULL on an error; otherwise to be freed by toml_doc_free()
 */
struct toml_doc *toml_doc_load(const char *path, GError **error);
/** Frees the document; NULL is allowed. */
void toml_doc_free(struct toml_doc *doc);

/** What a path names. */
enum toml_kind { TOML_NONE, TOML_STRING, TOML_NUMBER, TOML_OTHER };

/** The kind of value at the path; TOML_NONE if there is nothing. */
enum toml_kind toml_doc_kind(const struct toml_doc *doc, const char *path);
/** The string at the path, which stays the document's; NULL if there is none. */
const char *toml_doc_string(const struct toml_doc *doc, const char *path);
/** Reads a number, as which an integer counts; false, and *out left alone, if there is none. */
bool toml_doc_number(const struct toml_doc *doc, const char *path, double *out);
/** The length of the array at the path; 0 if there is none. */
size_t toml_doc_count(const struct toml_doc *doc, const char *path);

G_END_DECLS

G_DEFINE_AUTOPTR_CLEANUP_FUNC(toml_doc, toml_doc_free)

#endif
