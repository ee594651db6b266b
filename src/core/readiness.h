/** @file
 * Whether this controller is in a state to serve users, or other controllers are better off. It keeps no
 * state of its own.
 */
#ifndef OW_CORE_READINESS_H
#define OW_CORE_READINESS_H

#include <stdbool.h>

struct ow_core;

/** Whether users should be sent to this controller. */
bool ow_readiness_is_ready(const struct ow_core *core);

#endif
