/** @file
 * Users' requests for the resources that each team uses and waits for.
 */
#ifndef OW_CORE_API_TEAM_USAGE_H
#define OW_CORE_API_TEAM_USAGE_H

#include <stdint.h>

struct ow_core;

/** Answers with the usage of every team in the settings, computed from the task counts that users see. No
 * scheduling decision depends on these counts. */
void ow_team_usage_answer(struct ow_core *core, uint64_t request);

#endif
