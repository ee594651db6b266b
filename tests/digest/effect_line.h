/** @file Effects of controllers as text, with bodies encoded as on the wire. */
#ifndef OW_TESTS_EFFECT_LINE_H
#define OW_TESTS_EFFECT_LINE_H

#include "model/effect.h"

/** Appends the effect as one line without a newline: its kind, its addressee, and the body that is sent; a
 * peer message is in hexadecimal. Values that never leave the process, such as the tags of requests, are left
 * out. */
void effect_line_append(GString *line, const struct ow_effect *effect);

#endif
