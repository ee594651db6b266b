/** @file
 * The table of machine types that the cloud offers, as known to this controller. A type that has disappeared
 * from the cloud's answers is kept: machines of it may still exist.
 */
#ifndef OW_CORE_MACHINE_TYPES_H
#define OW_CORE_MACHINE_TYPES_H

#include "model/cloud.h"

#include <glib.h>
#include <stdbool.h>

struct ow_machine_types;
struct ow_type_sets;

/** Creates an empty table; freed by ow_machine_types_free(). `names` gives the types their indices and must
 * outlive it. */
struct ow_machine_types *ow_machine_types_new(struct ow_type_sets *names);
/** Frees the table and the types in it. */
void ow_machine_types_free(struct ow_machine_types *types);
/** Copies the types (struct ow_machine_type) into the table, replacing those that it already has. */
void ow_machine_types_update(struct ow_machine_types *types, const GArray *offered);
/** The type with this name index, owned by the table and valid until the next update; NULL if it is not
 * known, also for an index out of range. */
const struct ow_machine_type *ow_machine_types_at(const struct ow_machine_types *types, int index);
/** Above every index of a known type. */
int ow_machine_types_count(const struct ow_machine_types *types);
/** Whether any types have been learned yet. */
bool ow_machine_types_are_known(const struct ow_machine_types *types);

#endif
