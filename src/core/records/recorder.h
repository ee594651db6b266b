/** @file
 * The recorder: queues writes of changed records, each with an urgency and a due time.
 *
 * Every module that changes a job's tasks calls it. record_writer.h sends the queued writes.
 *
 * Invariants of the write path:
 *  - No launch is sent before the record of its attempt is committed (safety rule 1): an attempt stays
 *    OW_ATTEMPT_PLANNED until transaction_reply.c handles the success of the transaction that recorded it.
 *  - One transaction is in flight at a time, so writes are applied in the order in which they were decided.
 *  - Every transaction compares the leader key, so that a deposed leader changes nothing, and the
 *    mod_revision of each key that it writes, so that one that is applied late, or twice, does no harm.
 *  - A chunk that moves is written in its new record value before the old value is replaced, so that a new
 *    leader finds every recorded decision at any time.
 */
#ifndef OW_CORE_RECORDS_RECORDER_H
#define OW_CORE_RECORDS_RECORDER_H

#include <stdint.h>

struct ow_leader;
struct ow_record_value;
struct ow_recorder;
struct ow_execution;

/** How long progress that no launch depends on may be delayed, in seconds. */
#define OW_PROGRESS_DELAY_S 1.5

/** A recorder with an empty queue; freed by ow_recorder_free(). */
struct ow_recorder *ow_recorder_new(struct ow_leader *leader);
/** Frees the recorder with its queue. */
void ow_recorder_free(struct ow_recorder *recorder);
/** Queues the record of the task's chunk, to be written at once and with the urgency of the job's rank,
 * because a launch or another write depends on it. No effect once the job is over. */
void ow_recorder_queue_urgent(struct ow_leader *leader, struct ow_execution *execution, uint32_t task);
/** Queues the record of the task's chunk, due within OW_PROGRESS_DELAY_S, because nothing depends on it. No
 * effect once the job is over. */
void ow_recorder_queue_deferred(struct ow_leader *leader, struct ow_execution *execution, uint32_t task);
/** Queues the final record of the job, once. Its progress is not written from then on. */
void ow_recorder_queue_final_record(struct ow_leader *leader, struct ow_execution *execution);
/** Queues a rewrite of the record value, in the background, without the records of jobs that are over. */
void ow_recorder_queue_compaction(struct ow_leader *leader, struct ow_record_value *record_value);
/** Drops every reference to an execution that is about to be freed, and queues the rewrite of its record
 * values without it. */
void ow_recorder_forget_execution(struct ow_leader *leader, const struct ow_execution *execution);

#endif
