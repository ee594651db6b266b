/**
 * @file
 * Reads and checks the platform's settings file (TOML).
 *
 * Maps the platform's field names to the members of struct ow_settings. Unknown fields are ignored, because
 * the platform may add some.
 */
#ifndef OW_CONFIG_SETTINGS_FILE_H
#define OW_CONFIG_SETTINGS_FILE_H

#include "model/settings.h"

#include <glib.h>

/** Typedef for g_autoptr(ow_settings). */
typedef struct ow_settings ow_settings;

/**
 * Reads and checks the file.
 *
 * @param error  in the domain OW_CONFIG_ERROR; the message names the first invalid field
 * @return NULL on an error; otherwise to be freed by ow_settings_free()
 */
struct ow_settings *ow_settings_load(const char *path, GError **error);
/** Frees the settings and everything that they own; NULL is allowed. */
void ow_settings_free(struct ow_settings *settings);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_settings, ow_settings_free)

#endif
