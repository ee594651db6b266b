/* The operators' own settings: an XML file whose values replace the defaults. */
#ifndef OW_CONFIG_OPERATORS_FILE_H
#define OW_CONFIG_OPERATORS_FILE_H

#include "model/settings.h"
#include "sharding/sharding_settings.h"

#include <stdbool.h>

/* Changes what the file names; on a fault answers false and says the line and the name (g_free). */
bool ow_operators_load(const char *path, struct ow_tuning *tuning, struct ow_sharding_settings *sharding,
                       char **fault);

#endif
