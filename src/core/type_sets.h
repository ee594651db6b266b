/** @file
 * Names of machine types as indices, and the sets of types that jobs allow.
 *
 * A type gets its index when the cloud or a worker names it. The names in jobs, which users choose freely,
 * get none: a set keeps them as text, and holds those of the known types that it names. Invariant: a set has
 * the same members whether its types became known before or after it was created, and names that are no types
 * change nothing. Neither types nor names are limited in number.
 */
#ifndef OW_CORE_TYPE_SETS_H
#define OW_CORE_TYPE_SETS_H

#include <glib.h>
#include <stdbool.h>

/** The known types, and all sets that are referenced. */
struct ow_type_sets;

/** A set of machine types. Sets of the same names are one object, which counts its references. */
struct ow_type_set;

/** Creates the table without any type; freed by ow_type_sets_free(). */
struct ow_type_sets *ow_type_sets_new(void);
/** Frees the table; no set may be referenced any more. NULL is allowed. */
void ow_type_sets_free(struct ow_type_sets *sets);
/** The index of a type that the cloud or a worker has named. If it was not known, it is added to the sets
 * that name it. Indices are dense from 0 and stay valid as long as the table. `name` is copied. */
int ow_type_sets_intern(struct ow_type_sets *sets, const char *name);
/** The name of the type with this index, owned by the table. */
const char *ow_type_sets_name(const struct ow_type_sets *sets, int type_index);

/** A reference to the set of the types with these names, which are copied; NULL: of all types. Returned by
 * ow_type_set_unref(). */
struct ow_type_set *ow_type_sets_get(struct ow_type_sets *sets, char *const *names);
/** Adds a reference to the set and returns it; NULL is allowed. */
struct ow_type_set *ow_type_set_ref(struct ow_type_set *set);
/** Returns a reference; the last one frees the set. NULL is allowed. */
void ow_type_set_unref(struct ow_type_set *set);
/** Whether the set has the type with this index. False for NULL, which is the empty set, and for an index
 * that is no type's. */
bool ow_type_set_has(const struct ow_type_set *set, int type_index);
/** Whether both sets, of the same table, have the same known types, also if their names differ. Neither may
 * be NULL. */
bool ow_type_set_equal(const struct ow_type_set *a, const struct ow_type_set *b);

#endif
