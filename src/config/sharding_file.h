/* Reads the <control> element of the operators' settings. */
#ifndef OW_CONFIG_SHARDING_FILE_H
#define OW_CONFIG_SHARDING_FILE_H

#include "sharding/sharding_settings.h"

/* Whether the element is <control> or one that belongs inside it. */
bool ow_sharding_file_knows(const char *element);
/* Takes the element with its attributes, name and value in turn, ended by NULL. NULL, or what is wrong
 * (g_free). */
char *ow_sharding_file_take(struct ow_sharding_settings *sharding, const char *element,
                            const char **attributes, unsigned long line);

#endif
