/* The recorder writes changed records to the key-value store, in batches and in an order that keeps every
 * decision recoverable. It owns the queue of writes and the transaction under way. */
#ifndef OW_CORE_RECORDS_RECORDER_H
#define OW_CORE_RECORDS_RECORDER_H

#include <stdbool.h>
#include <stdint.h>

struct ow_leader;
struct ow_record_value;
struct ow_recorder;
struct ow_execution;

/* A recorder with an empty queue; freed by ow_recorder_free(). */
struct ow_recorder *ow_recorder_new(struct ow_leader *leader);
void ow_recorder_free(struct ow_recorder *recorder);
/* The record of the task's chunk has changed and is to be written: at once if a launch waits for it
   (`launching`), else within a short delay. No effect once the job is over. */
void ow_recorder_chunk(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                       bool launching);
/* Queues the write of how the job ended, once. From then on its progress is not written any more. */
void ow_recorder_finish(struct ow_leader *leader, struct ow_execution *execution);
/* Rewrites a record value at low urgency, without the records of jobs that are over. */
void ow_recorder_compact(struct ow_leader *leader, struct ow_record_value *record_value);
/* Drops every reference to a run that is about to be freed. */
void ow_recorder_forget(struct ow_leader *leader, const struct ow_execution *execution);

#endif
