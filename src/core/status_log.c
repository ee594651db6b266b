#include "core/status_log.h"

#include "core/api/cancellation_ack.h"
#include "core/api/request_metrics.h"
#include "core/core_state.h"
#include "core/election/election.h"
#include "core/jobs/job_cache.h"
#include "core/leader/leader_status.h"
#include "core/store_health.h"

#include <inttypes.h>

static const double INTERVAL_S = 10;

static void log_leadership(const struct ow_core *core)
{
    const char *leader_name = ow_election_leader_name(core->election);
    g_info("leader known to this controller: controller=%s fencing_token=%" PRIu64,
           leader_name != NULL ? leader_name : "none", ow_election_key_revision(core->election));
    if (core->leader != NULL)
        ow_leader_status_log(core->leader);
}

void ow_status_log_tick(struct ow_core *core)
{
    if (core->now < core->status_log_at)
        return;
    core->status_log_at = core->now + INTERVAL_S;
    log_leadership(core);
    ow_request_metrics_log(&core->request_metrics);
    ow_cancellation_ack_log_metrics(core->cancellation_ack);
    ow_job_cache_log_metrics(core->job_cache);
    ow_store_health_log_metrics(core->store_health);
}
