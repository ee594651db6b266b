/** @file
 * What teams use, are guaranteed and are limited to. The module owns the sums of what their attempts use,
 * which attempt_table.h keeps in step, and what a scheduling cycle knows of their rights. `team` is a name
 * index.
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

/** No team uses anything; freed by ow_quota_free(). */
struct ow_quota *ow_quota_new(void);
/** Frees it. */
void ow_quota_free(struct ow_quota *quota);
/** Begins a scheduling cycle: finds out which teams may claim their guarantee and which have to give back,
 * for the whole cycle. */
void ow_quota_begin_cycle(struct ow_leader *leader);
/** The settings of the team of this name, owned by `settings`, or NULL if they name no such team. */
const struct ow_team_settings *ow_team_settings_find(const struct ow_settings *settings, const char *name);
/** What the team's attempts use. Valid until the next call. */
struct ow_resources *ow_team_usage(struct ow_leader *leader, int team);
/** Whether the amounts lie within what the team is guaranteed. A resource of which it is guaranteed none is
 * left out; one that is guaranteed must be among them. */
bool ow_team_guarantee_covers(const struct ow_leader *leader, int team, const struct ow_resources *amounts);
/** Whether such tasks need anything of which the team is guaranteed some: only then guarantees concern them.
 */
bool ow_team_has_guarantee_for(const struct ow_leader *leader, int team, const struct ow_resources *need);
/** Whether, as the cycle began, all unfinished jobs of the team together fitted within its guarantee: they
 * need not wait for others. */
bool ow_team_demand_is_guaranteed(const struct ow_leader *leader, int team);
/** Whether, as the cycle began, the team used more than its guarantee, which entitled teams may claim back.
 */
bool ow_team_is_borrowing(const struct ow_leader *leader, int team);
/** How many of `wanted` further tasks of a job its team's limit admits; 0 for a team without settings. */
uint32_t ow_team_admits(struct ow_leader *leader, const struct ow_job_spec *spec, uint32_t wanted);

#endif
