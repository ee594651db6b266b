/** @file
 * Record values of a leader: which chunks share a value of the key-value store, and the text of that value.
 *
 * The rate of mutations is a tighter limit of the store than the size of values, so chunks that change
 * together share a value. A chunk stays in its record value until its job is over or the value exceeds
 * the store's limit. Every chunk is in at most one record value. recorder.h and transaction.h decide when
 * they are written.
 *
 * Invariant: a stored value is not replaced while it is the only record of a task that the new text omits. So
 * a chunk that moves is written in its new value before the old value is replaced (`waits_for`), and a value
 * with chunks of an earlier size is kept until all of their tasks are recorded elsewhere (`unmoved_tasks`).
 */
#ifndef OW_CORE_RECORDS_RECORD_VALUES_H
#define OW_CORE_RECORDS_RECORD_VALUES_H

#include "core/records/record_value.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_chunk;
struct ow_job;
struct ow_leader;

/** The tasks of chunk `index`, where a job of `task_count` tasks is divided into chunks of `chunk_tasks`. */
struct ow_task_range ow_chunk_task_range(uint32_t index, uint32_t chunk_tasks, uint32_t task_count);
/** How many tasks a new chunk records, by the format of records and the limit of a value. */
uint32_t ow_record_values_chunk_tasks(const struct ow_leader *leader);

/** The record value of this number, owned by the leader; NULL if there is none. */
struct ow_record_value *ow_record_values_find(const struct ow_leader *leader, uint32_t number);
/** The record value of this number, owned by the leader; it is added without chunks if it is new. */
struct ow_record_value *ow_record_values_find_or_add(struct ow_leader *leader, uint32_t number);
/** Frees a record value, but not its chunks: the free function of the leader's array. */
void ow_record_value_free(void *item);

/** Adds a chunk that is in no record value to this one. */
void ow_record_value_add_chunk(struct ow_record_value *record_value, struct ow_chunk *chunk);
/** Adds a chunk that is in no record value to the fullest one that may take it, or to a new one. */
void ow_record_values_assign_chunk(struct ow_leader *leader, struct ow_chunk *chunk);
/** Removes the chunk from its record value, which is returned; NULL if it was in none. */
struct ow_record_value *ow_record_value_remove_chunk(struct ow_chunk *chunk);

/** Notes that only the stored value records these tasks: it is not replaced until all are recorded elsewhere.
 */
void ow_record_value_add_unmoved_tasks(struct ow_record_value *record_value, struct ow_job *job,
                                       struct ow_task_range tasks);
/** Forgets unmoved tasks that have been recorded elsewhere since, or whose job is over. */
void ow_record_value_drop_moved_tasks(struct ow_record_value *record_value);

/** The JSON text of the record value, which the caller frees. While it exceeds the limit of a value and has
 * more than one chunk, chunks move to a new record value, which is returned in `*overflow` and must be
 * written first; otherwise `*overflow` is NULL. The text of a single chunk may still be too large. */
char *ow_record_values_encode(struct ow_leader *leader, struct ow_record_value *record_value,
                              struct ow_record_value **overflow);

#endif
