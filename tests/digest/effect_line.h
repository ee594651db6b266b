/** @file The effects of controllers as text, encoded as for the wire. */
#ifndef OW_TESTS_EFFECT_LINE_H
#define OW_TESTS_EFFECT_LINE_H

#include "model/effect.h"

/** Appends the effect as one line, without its end: its kind, whom it goes to, and the body that is sent; a
 * peer message in hexadecimal. What never leaves the process, such as the tags of requests, is left out. */
void effect_line_append(GString *line, const struct ow_effect *effect);

#endif
