/** @file
 * Interner: maps strings to dense indices from 0, by which the core compares names and indexes arrays.
 *
 * Indices are assigned in the order in which strings are first interned, are never reused, and stay valid as
 * long as the interner exists. There is one interner for each kind of name (classes, teams, images, zones).
 * Nothing may depend on an index being small where users choose the names.
 */
#ifndef OW_UTIL_INTERNER_H
#define OW_UTIL_INTERNER_H

#include <glib.h>

/** The names of one kind and their indices. It owns copies of the names. */
struct ow_interner;

/** Index that stands for no name. */
enum { OW_NO_NAME = -1 };

/** Creates an empty interner; the caller frees it with ow_interner_free(). */
struct ow_interner *ow_interner_new(void);

/** Frees the interner and its strings. @param interner may be NULL */
void ow_interner_free(struct ow_interner *interner);

/** Enables g_autoptr(ow_interner). */
typedef struct ow_interner ow_interner;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_interner, ow_interner_free)

/** Adds a name unless it is already known. @param name copied; not NULL @return its index */
int ow_interner_intern(struct ow_interner *interner, const char *name);

/** Looks up a name. @param name may be NULL, which is never known @return its index, or OW_NO_NAME */
int ow_interner_find(const struct ow_interner *interner, const char *name);

/** Returns the name with an index. @param index assigned by this interner @return owned by the interner */
const char *ow_interner_text(const struct ow_interner *interner, int index);

/** Returns the number of known names; all indices are below it. */
int ow_interner_count(const struct ow_interner *interner);

#endif
