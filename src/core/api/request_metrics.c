#include "core/api/request_metrics.h"

#include <glib.h>

void ow_request_metrics_note_answer(struct ow_request_metrics *metrics, enum ow_answer_kind kind)
{
    metrics->answers[kind]++;
}

static unsigned count_all(const struct ow_request_metrics *metrics)
{
    unsigned count = 0;
    for (int kind = 0; kind < OW_ANSWER_KINDS; kind++)
        count += metrics->answers[kind];
    return count;
}

void ow_request_metrics_log(struct ow_request_metrics *metrics)
{
    const unsigned *answers = metrics->answers;
    if (count_all(metrics) == 0)
        return;
    g_info("user requests answered: state=%u malformed=%u unknown_job=%u impossible=%u "
           "retry_starting=%u retry_store=%u retry_leader=%u "
           "retry_acknowledgement=%u retry_size=%u",
           answers[OW_ANSWER_STATE], answers[OW_ANSWER_MALFORMED], answers[OW_ANSWER_UNKNOWN_JOB],
           answers[OW_ANSWER_IMPOSSIBLE], answers[OW_ANSWER_RETRY_STARTING], answers[OW_ANSWER_RETRY_STORE],
           answers[OW_ANSWER_RETRY_LEADER], answers[OW_ANSWER_RETRY_ACKNOWLEDGEMENT],
           answers[OW_ANSWER_RETRY_SIZE]);
    *metrics = (struct ow_request_metrics){0};
}
