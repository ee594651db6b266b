/**
 * @file
 * Reads the `<control>` element of the operators' settings, and the elements inside it.
 *
 * Unlike the rest of that file it accepts no unknown attribute: a shard that a slip of the pen gives other
 * machines than meant would be led wrongly.
 */
#ifndef OW_CONFIG_SHARDING_FILE_H
#define OW_CONFIG_SHARDING_FILE_H

#include "sharding/sharding_settings.h"

#include <glib.h>
#include <stdbool.h>

/** Whether the element is `<control>` or one that belongs inside it. */
bool ow_sharding_file_handles_element(const char *element);
/**
 * Adds what the element says to the settings.
 *
 * @param element     one for which ow_sharding_file_handles_element() is true
 * @param attributes  name and value in turn, ended by NULL
 * @param line        of the element in the file, for messages about inconsistent settings
 * @param error       in the domain OW_CONFIG_ERROR, without the line
 * @return false on an error; the settings may then be changed in part
 */
bool ow_sharding_file_read_element(struct ow_sharding_settings *sharding, const char *element,
                                   const char **attributes, unsigned long line, GError **error);

#endif
