/**
 * @file
 * Reads the operators' settings: an optional XML file whose values override the defaults.
 *
 * Unknown elements and attributes are ignored with a warning, except inside `<control>`, where unknown
 * attributes are errors (see sharding_file.h).
 */
#ifndef OW_CONFIG_OPERATORS_FILE_H
#define OW_CONFIG_OPERATORS_FILE_H

#include "model/settings.h"
#include "sharding/sharding_settings.h"

#include <glib.h>
#include <stdbool.h>

/**
 * Overrides the values that the file sets. The sharding settings are not yet checked against the platform's
 * settings: see sharding_settings_check.h.
 *
 * @param tuning    unchanged on an error
 * @param sharding  may be partly changed on an error
 * @param error     in the domain OW_CONFIG_ERROR; the message names the line and the attribute
 * @return false on an error
 */
bool ow_operators_load(const char *path, struct ow_tuning *tuning, struct ow_sharding_settings *sharding,
                       GError **error);

#endif
