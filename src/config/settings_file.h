/* The platform's settings file, checked. */
#ifndef OW_CONFIG_SETTINGS_FILE_H
#define OW_CONFIG_SETTINGS_FILE_H

#include "model/settings.h"

/* NULL if it can't be used; *fault then names the field and what is wrong (free with g_free). */
struct ow_settings *ow_settings_load(const char *path, char **fault);
/* NULL is allowed. */
void ow_settings_free(struct ow_settings *settings);

#endif
