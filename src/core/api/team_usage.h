/** @file
 * Users' requests for what each team uses and waits for.
 */
#ifndef OW_CORE_API_TEAM_USAGE_H
#define OW_CORE_API_TEAM_USAGE_H

#include <stdint.h>

struct ow_core;

/** Answers with the usage of every team in the settings, by the counts of tasks that are shown to users:
 * nothing is decided by them. */
void ow_team_usage_answer(struct ow_core *core, uint64_t request);

#endif
