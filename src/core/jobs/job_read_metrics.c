#include "core/jobs/job_read_metrics.h"

#include "model/http_status.h"

#include <glib.h>

void ow_job_read_metrics_note_refresh(struct ow_job_read_metrics *metrics, int status, double now)
{
    metrics->refreshes++;
    metrics->slowest_s = MAX(metrics->slowest_s, now - metrics->sent_at);
    if (status == OW_HTTP_STATUS_OK)
        return;
    metrics->failed_refreshes++;
    metrics->last_failure = status;
}

void ow_job_read_metrics_note_failed_watch(struct ow_job_read_metrics *metrics, int status)
{
    metrics->failed_watches++;
    metrics->last_failure = status;
}

bool ow_job_read_metrics_is_empty(const struct ow_job_read_metrics *metrics)
{
    return metrics->refreshes == 0 && metrics->failed_watches == 0;
}

void ow_job_read_metrics_reset(struct ow_job_read_metrics *metrics)
{
    *metrics = (struct ow_job_read_metrics){.sent_at = metrics->sent_at};
}
