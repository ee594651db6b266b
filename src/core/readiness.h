/** @file
 * Decides whether the load balancer should send users to this controller. Keeps no state.
 */
#ifndef OW_CORE_READINESS_H
#define OW_CORE_READINESS_H

#include <stdbool.h>

struct ow_core;

/** Whether users should be sent to this controller, by its own state and the reports of its peers. */
bool ow_readiness_is_ready(const struct ow_core *core);

#endif
