/* Reading a TOML file; the only wrapper of the C++ library behind it. */
#ifndef OW_CONFIG_TOML_DOC_H
#define OW_CONFIG_TOML_DOC_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A file that has been read. */
struct toml_doc;

/* NULL if the file can't be read; *fault then says why and is freed with free. */
struct toml_doc *toml_doc_load(const char *path, char **fault);
void toml_doc_free(struct toml_doc *doc);

/* What a path names. */
enum toml_kind { TOML_NONE, TOML_STRING, TOML_NUMBER, TOML_OTHER };
/* Paths look like "params.state.rps" and "others[0].area". */
enum toml_kind toml_doc_kind(const struct toml_doc *doc, const char *path);
/* The text stays the document's; NULL if there is no string there. */
const char *toml_doc_string(const struct toml_doc *doc, const char *path);
/* Reads a number, as which an integer counts; false and *out left alone if there is none. */
bool toml_doc_number(const struct toml_doc *doc, const char *path, double *out);
/* The length of an array, 0 if there is none. */
size_t toml_doc_count(const struct toml_doc *doc, const char *path);

#ifdef __cplusplus
}
#endif

#endif
