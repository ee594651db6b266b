/**
 * @file
 * A query to all shards about one job, or about what teams use (scatter-gather): it collects the shards'
 * answers and combines them to the one that the user gets.
 */
#ifndef OW_SHARDING_SHARD_QUERY_H
#define OW_SHARDING_SHARD_QUERY_H

#include "model/effect.h"
#include "model/submission.h"

#include <stdint.h>

/** What the query is for, and so what is done once all shards have answered. */
enum ow_shard_query_kind {
    OW_SHARD_QUERY_POLL,   /**< the user is told */
    OW_SHARD_QUERY_CANCEL, /**< the shard that has the job gets the cancellation */
    OW_SHARD_QUERY_SUBMIT, /**< a shard refused a submission: unless another has the job, the refusal stands
                            */
    OW_SHARD_QUERY_TEAMS,  /**< the user is told the sums over all shards */
};

/** A query under way; owned by the request router. */
struct ow_shard_query {
    enum ow_shard_query_kind kind;
    uint64_t request;          /**< the user's */
    char id[OW_ID_MAX + 1];    /**< of the job; empty: about teams */
    unsigned missing;          /**< answers still to come */
    struct ow_effect *answer;  /**< the best or the sum so far, owned; NULL: none yet */
    struct ow_effect *refusal; /**< of a submission, owned; NULL for other kinds */
    double asked_at;           /**< seconds of the monotonic clock */
};

/** Frees a struct ow_shard_query with what it holds; of this form to be the free function of a table. */
void ow_shard_query_free(void *item);
/** Takes over a shard's answer. */
void ow_shard_query_add_answer(struct ow_shard_query *query, struct ow_effect *answer);
/** The answer to the user, once all shards have answered; the caller owns it. To be called once. */
struct ow_effect *ow_shard_query_take_result(struct ow_shard_query *query);

#endif
