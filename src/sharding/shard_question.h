/* A question to all shards about one job, or about what teams use: it collects the answers and combines them.
 */
#ifndef OW_SHARDING_SHARD_QUESTION_H
#define OW_SHARDING_SHARD_QUESTION_H

#include "model/effect.h"
#include "model/submission.h"

#include <stdint.h>

/* What is done once all shards have been asked about a job. */
enum ow_question_purpose {
    OW_QUESTION_POLL,   /* the user is told */
    OW_QUESTION_CANCEL, /* the shard that has the job gets the cancellation */
    OW_QUESTION_SUBMIT, /* a refused submission: unless a shard has the job, the refusal stands */
    OW_QUESTION_TEAMS,  /* the sums of all shards */
};

/* A question to all shards. */
struct ow_shard_question {
    enum ow_question_purpose purpose;
    uint64_t request; /* the user's */
    char id[OW_ID_MAX + 1];
    unsigned missing;          /* answers still to come */
    struct ow_effect *answer;  /* the best so far, owned */
    struct ow_effect *refusal; /* of a submission, owned */
    double asked_at;
};

/* Frees it with what it holds. */
void ow_shard_question_free(void *item);
/* Takes over a shard's answer. */
void ow_shard_question_take(struct ow_shard_question *question, struct ow_effect *effect);
/* The answer to the user, once all shards have answered; the caller owns it. */
struct ow_effect *ow_shard_question_result(struct ow_shard_question *question);

#endif
