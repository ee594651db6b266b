#include "sharding/shard_query.h"

#include "model/http_status.h"
#include "model/resources.h"

/* What an answer about a job establishes, weakest first: a stronger answer replaces a weaker one. */
enum answer_strength {
    STRENGTH_NOT_FOUND, /* the shard does not have the job */
    STRENGTH_UNKNOWN,   /* the shard can't tell, or refuses for now */
    STRENGTH_FOUND,     /* the shard has the job */
};

void ow_shard_query_free(void *item)
{
    struct ow_shard_query *query = item;
    if (query->answer != NULL)
        ow_effect_free(query->answer);
    if (query->refusal != NULL)
        ow_effect_free(query->refusal);
    g_free(query);
}

static enum answer_strength strength_of(const struct ow_effect *answer)
{
    if (answer->kind == OW_EFFECT_JOB)
        return STRENGTH_FOUND;
    return answer->status == OW_HTTP_STATUS_NOT_FOUND ? STRENGTH_NOT_FOUND : STRENGTH_UNKNOWN;
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

void ow_shard_query_add_answer(struct ow_shard_query *query, struct ow_effect *answer)
{
    if (query->answer == NULL) {
        query->answer = answer;
        return;
    }
    struct ow_effect *discarded = answer;
    if (query->kind == OW_SHARD_QUERY_TEAMS) {
        add_teams(query->answer->teams, answer->teams);
    } else if (strength_of(answer) > strength_of(query->answer)) {
        discarded = query->answer;
        query->answer = answer;
    }
    ow_effect_free(discarded);
}

/* The result of a query after a refused submission: the user gets the refusal only if every shard has
   answered that it does not have the job. */
static struct ow_effect *take_submission_result(struct ow_shard_query *query)
{
    struct ow_effect *answer = g_steal_pointer(&query->answer);
    if (strength_of(answer) > STRENGTH_NOT_FOUND)
        return answer;
    ow_effect_free(answer);
    struct ow_effect *refusal = g_steal_pointer(&query->refusal);
    /* The transaction failed because another shard has the job, but that shard's core has not read it yet, or
       the job has finished in the meantime. */
    if (refusal->status == OW_HTTP_STATUS_NOT_FOUND)
        ow_effect_refuse_temporarily(refusal, "another shard has accepted this job");
    return refusal;
}

struct ow_effect *ow_shard_query_take_result(struct ow_shard_query *query)
{
    struct ow_effect *result = query->kind == OW_SHARD_QUERY_SUBMIT ? take_submission_result(query)
                                                                    : g_steal_pointer(&query->answer);
    result->request = query->request;
    return result;
}
