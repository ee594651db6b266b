/* Names become dense indices when they enter the core. One table per kind of name. */
#ifndef OW_UTIL_INTERNER_H
#define OW_UTIL_INTERNER_H

#include <stdint.h>

struct ow_interner;

enum { OW_NO_NAME = -1 };

struct ow_interner *ow_interner_new(void);
void ow_interner_free(struct ow_interner *names);
/* The index of a name, which is added if it is new. */
int ow_interner_intern(struct ow_interner *names, const char *name);
/* The index of a known name, or OW_NO_NAME. */
int ow_interner_find(const struct ow_interner *names, const char *name);
const char *ow_interner_text(const struct ow_interner *names, int index);
int ow_interner_count(const struct ow_interner *names);

#endif
