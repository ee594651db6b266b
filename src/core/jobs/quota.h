/** @file
 * Quotas of teams: usage, guarantee and limit. The module owns the usage sums, which attempt_table.h keeps up
 * to date, and the decision, for each scheduling cycle, which teams may claim their guarantee and which have
 * to give resources back. `team` is a name index.
 */
#ifndef OW_CORE_JOBS_QUOTA_H
#define OW_CORE_JOBS_QUOTA_H

#include "core/jobs/job.h"
#include "model/resources.h"
#include "model/settings.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_leader;
struct ow_quota;

/** Creates the quotas, without usage by any team; freed by ow_quota_free(). */
struct ow_quota *ow_quota_new(void);
/** Frees the quotas with their usage sums; NULL is not allowed. */
void ow_quota_free(struct ow_quota *quota);
/** Determines, for a whole scheduling cycle, which teams may claim their guarantee and which have to give
 * resources back. */
void ow_quota_begin_cycle(struct ow_leader *leader);
/** The settings of the team of this name, owned by `settings`, or NULL if they name no such team. */
const struct ow_team_settings *ow_team_settings_find(const struct ow_settings *settings, const char *name);
/** The sum of what the team's attempts use, owned by the quotas. Valid until the next call. */
struct ow_resources *ow_team_usage(struct ow_leader *leader, int team);
/** Whether the amounts lie within the team's guarantee. Resources without a guarantee are ignored, but the
 * amounts must include at least one guaranteed resource. */
bool ow_team_guarantee_covers(const struct ow_leader *leader, int team, const struct ow_resources *amounts);
/** Whether `need` includes a resource for which the team has a guarantee; guarantees don't apply to other
 * tasks. */
bool ow_team_has_guarantee_for(const struct ow_leader *leader, int team, const struct ow_resources *need);
/** Whether, at the beginning of the cycle, all unfinished jobs of the team together fit within its guarantee,
 * so that they need not wait for other teams. */
bool ow_team_demand_is_guaranteed(const struct ow_leader *leader, int team);
/** Whether, at the beginning of the cycle, the team used more than its guarantee, which entitled teams may
 * reclaim. */
bool ow_team_is_borrowing(const struct ow_leader *leader, int team);
/** How many of `wanted` further tasks of a job its team's limit admits; 0 for a team without settings. */
uint32_t ow_team_count_admitted(struct ow_leader *leader, const struct ow_job_spec *spec, uint32_t wanted);

#endif
