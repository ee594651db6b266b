#include "sharding/shard_question.h"
#include "model/effect.h"
#include "model/http_status.h"
#include "model/resources.h"

void ow_shard_question_free(void *item)
{
    struct ow_shard_question *question = item;
    if (question->answer != NULL)
        ow_effect_free(question->answer);
    if (question->refusal != NULL)
        ow_effect_free(question->refusal);
    g_free(question);
}

/* How much an answer says: that a shard has the job; that it doesn't know; that it has not. */
static int weight(const struct ow_effect *answer)
{
    if (answer->kind == OW_EFFECT_JOB)
        return 2;
    return answer->status == OW_HTTP_STATUS_NOT_FOUND ? 0 : 1;
}

static void add_teams(GArray *sums, const GArray *teams)
{
    for (guint i = 0; i < sums->len && i < teams->len; i++) {
        struct ow_team_view *sum = &g_array_index(sums, struct ow_team_view, i);
        const struct ow_team_view *part = &g_array_index(teams, struct ow_team_view, i);
        ow_resources_add(&sum->running, &part->running, 1);
        ow_resources_add(&sum->waiting, &part->waiting, 1);
        sum->jobs += part->jobs;
        sum->waiting_jobs += part->waiting_jobs;
    }
}

void ow_shard_question_take(struct ow_shard_question *question, struct ow_effect *effect)
{
    struct ow_effect *best = question->answer;
    bool is_better =
        best == NULL || (question->purpose != OW_QUESTION_TEAMS && weight(effect) > weight(best));
    if (best != NULL && question->purpose == OW_QUESTION_TEAMS)
        add_teams(best->teams, effect->teams);
    if (is_better)
        question->answer = effect;
    struct ow_effect *surplus = is_better ? best : effect;
    if (surplus != NULL)
        ow_effect_free(surplus);
}

/* A refusal of a submission stands only when every shard has said that it does not have the job. */
static struct ow_effect *judge_refusal(struct ow_shard_question *question)
{
    struct ow_effect *answer = g_steal_pointer(&question->answer);
    if (weight(answer) > 0)
        return answer;
    ow_effect_free(answer);
    struct ow_effect *refusal = g_steal_pointer(&question->refusal);
    /* The shard was told that another one has the job, which has ended in the meantime or is not read yet. */
    if (refusal->status == OW_HTTP_STATUS_NOT_FOUND)
        ow_effect_refuse_temporarily(refusal, "another shard has accepted this job");
    return refusal;
}

struct ow_effect *ow_shard_question_result(struct ow_shard_question *question)
{
    struct ow_effect *result = question->purpose == OW_QUESTION_SUBMIT ? judge_refusal(question)
                                                                       : g_steal_pointer(&question->answer);
    result->request = question->request;
    return result;
}
