/** @file
 * One value of the key-value store that holds progress records, as plain data.
 *
 * record_values.c owns the record values of a leader and decides which chunks share one. The fields that
 * control when it is written belong to the modules named in their comments.
 */
#ifndef OW_CORE_RECORDS_RECORD_VALUE_H
#define OW_CORE_RECORDS_RECORD_VALUE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ow_write;

/** Consecutive tasks of a job: from `first` up to, not including, `end`. */
struct ow_task_range {
    uint32_t first;
    uint32_t end;
};

/** One value of the key-value store, with the records of the chunks in it. */
struct ow_record_value {
    uint32_t number;         /**< its key is OW_KEY_PROGRESS followed by this number */
    uint64_t mod_revision;   /**< of the last change known to the leader; 0: the key does not exist */
    int class_index;         /**< of the jobs of its chunks; OW_NO_NAME: it never had a chunk */
    GPtrArray *chunks;       /**< struct ow_chunk, owned by their executions */
    size_t estimated_bytes;  /**< size when last encoded, plus an estimate for chunks added since */
    struct ow_write *queued; /**< the queued write of it: write_queue.c; NULL: none */
    bool is_oversized;       /**< when last encoded it exceeded the limit of a value: transaction.c */
    bool needs_division;     /**< its only chunk is too large: transaction.c; cleared by chunk_division.c */
    double refused_until;    /**< too large and can't be divided: no write before this time */
    GArray *unmoved_tasks;   /**< struct ow_unmoved_tasks: tasks that only its stored value records */
    /** The record value to which chunks of this one have moved; it must be written first. NULL: none. */
    struct ow_record_value *waits_for;
};

#endif
