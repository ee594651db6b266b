/**
 * @file
 * A query to all shards about one job, or about what teams use (scatter-gather): it collects the shards'
 * answers and combines them into the answer for the user.
 */
#ifndef OW_SHARDING_SHARD_QUERY_H
#define OW_SHARDING_SHARD_QUERY_H

#include "model/effect.h"
#include "model/submission.h"

#include <stdint.h>

/** The kind of a query, which decides what happens once all shards have answered. */
enum ow_shard_query_kind {
    OW_SHARD_QUERY_POLL,   /**< the user gets the combined answer */
    OW_SHARD_QUERY_CANCEL, /**< the cancellation is passed to the shard that has the job */
    OW_SHARD_QUERY_SUBMIT, /**< a shard refused a submission: the user gets the refusal unless another shard
                              has the job */
    OW_SHARD_QUERY_TEAMS,  /**< the user gets the sums over all shards */
};

/** A pending query; owned by the request router. */
struct ow_shard_query {
    enum ow_shard_query_kind kind;
    uint64_t request;          /**< number of the user's request */
    char id[OW_ID_MAX + 1];    /**< of the job; empty for a query about teams */
    unsigned pending_answers;  /**< number of shards that have not answered yet */
    struct ow_effect *answer;  /**< the strongest answer or the sum so far, owned; NULL: none yet */
    struct ow_effect *refusal; /**< of a submission, owned; NULL for other kinds */
    double asked_at;           /**< seconds of the monotonic clock */
};

/** Frees a struct ow_shard_query with what it owns; a GDestroyNotify for tables. */
void ow_shard_query_free(void *item);
/** Adds a shard's answer and takes ownership of it. */
void ow_shard_query_add_answer(struct ow_shard_query *query, struct ow_effect *answer);
/** The answer for the user, owned by the caller. Call once, when all shards have answered. */
struct ow_effect *ow_shard_query_take_result(struct ow_shard_query *query);

#endif
