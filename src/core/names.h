/* Names become dense indices when they enter the core. One table per kind of name. */
#ifndef OW_CORE_NAMES_H
#define OW_CORE_NAMES_H

#include <stdint.h>

struct ow_names;

enum { OW_NO_NAME = -1 };

struct ow_names *ow_names_new(void);
void ow_names_free(struct ow_names *names);
/* The index of a name, which is added if it is new. */
int ow_names_add(struct ow_names *names, const char *name);
/* The index of a known name, or OW_NO_NAME. */
int ow_names_find(const struct ow_names *names, const char *name);
const char *ow_names_text(const struct ow_names *names, int index);
int ow_names_count(const struct ow_names *names);

#endif
