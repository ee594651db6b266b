/* Record values: which chunks share a value of the key-value store, and the text of that value. The module
 * owns the record values of a leader; when they are written is up to recorder.h. */
#ifndef OW_CORE_RECORDS_RECORD_VALUES_H
#define OW_CORE_RECORDS_RECORD_VALUES_H

#include "core/jobs/execution.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_leader;
struct ow_write;

/* Consecutive tasks of a job: from `first` up to, not including, `end`. */
struct ow_task_range {
    uint32_t first, end;
};

/* One value of the key-value store, with the records of the chunks in it. */
struct ow_record_value {
    bool oversized;       /* as last encoded it was larger than the limit for values */
    double refused_until; /* it was refused for its size and can not be made smaller: not written before */
    uint32_t number;      /* in its key */
    uint64_t version;     /* of its value; 0: none */
    int class_index;      /* of its chunks */
    GPtrArray *chunks;    /* struct ow_chunk, owned by their runs */
    bool refines;         /* its only chunk does not fit a value and is to be divided */
    GArray *retained;     /* tasks that its stored value records and that must first be recorded elsewhere */
    size_t bytes;         /* of its value as last written, and an estimate of what came since */
    struct ow_write *queued; /* write_queue.c: the write that waits for it; NULL: none */
    /* The value to which chunks moved: it must be written before this one; NULL: none. */
    struct ow_record_value *after;
};

/* The tasks of the chunk `index` in a run of `task_count` tasks that is divided into chunks of `chunk_tasks`.
 */
struct ow_task_range ow_chunk_task_range(uint32_t index, uint32_t chunk_tasks, uint32_t task_count);
/* The record value of this number, or NULL. */
struct ow_record_value *ow_record_values_find(const struct ow_leader *leader, uint32_t number);
/* The record value of this number, which is added empty if it is new. */
struct ow_record_value *ow_record_values_find_or_add(struct ow_leader *leader, uint32_t number);
/* The stored value keeps what it says of these tasks until all of them are recorded elsewhere. */
void ow_record_values_retain(struct ow_record_value *record_value, struct ow_job *job,
                             struct ow_task_range tasks);
/* Whether the stored value must stay as it is for now. */
bool ow_record_values_retains_tasks(struct ow_record_value *record_value);
/* Adds a chunk that is in no record value. */
void ow_record_values_add(struct ow_record_value *record_value, struct ow_chunk *chunk);
/* Adds a chunk that is in no record value to the one that suits it best, or to a new one. */
void ow_record_values_join(struct ow_leader *leader, struct ow_chunk *chunk);
/* Removes the chunk from its record value, which is returned; NULL if it was in none. */
struct ow_record_value *ow_record_values_leave(struct ow_chunk *chunk);
/* The JSON text of the record value, which the caller frees. Chunks that do not fit move to another record
   value, which is returned in `*moved` and must be written first; otherwise `*moved` is NULL. The text of a
   single chunk may still be too large. */
char *ow_record_values_encode(struct ow_leader *leader, struct ow_record_value *record_value,
                              struct ow_record_value **moved);
/* How many tasks a new chunk records, by the format of records and the limits of a value. */
uint32_t ow_record_values_chunk_tasks(const struct ow_leader *leader);
/* Frees a record value: the free function of the leader's array. */
void ow_record_value_free(void *item);

#endif
