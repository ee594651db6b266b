/**
 * @file
 * Reads the `<control>` element of the operators' settings, and the elements inside it.
 *
 * Unlike elsewhere in that file, unknown attributes are errors: a misspelled attribute could silently assign
 * the wrong machines to a shard.
 */
#ifndef OW_CONFIG_SHARDING_FILE_H
#define OW_CONFIG_SHARDING_FILE_H

#include "sharding/sharding_settings.h"

#include <glib.h>
#include <stdbool.h>

/** Whether the element is `<control>` or one of its child elements. */
bool ow_sharding_file_handles_element(const char *element);
/**
 * Adds the settings of an element.
 *
 * @param element     one for which ow_sharding_file_handles_element() is true
 * @param attributes  alternating names and values, NULL-terminated
 * @param line        line of the element in the file, for later messages about inconsistent settings
 * @param error       in the domain OW_CONFIG_ERROR; the message has no line number
 * @return false on an error; the settings may then be partly changed
 */
bool ow_sharding_file_read_element(struct ow_sharding_settings *sharding, const char *element,
                                   const char **attributes, unsigned long line, GError **error);

#endif
