/** @file
 * The records that controllers keep in the key-value store, as plain data. wire/records_json.h encodes them.
 *
 * Keys:
 *
 *  - coordinator: the leader; deleted when the leader's short lease expires
 *  - format: the newest format of records that every controller reads; if absent, OW_FORMAT_FIRST
 *  - types: the machine types received last
 *  - j/(id): a job: its submission, or its final state (a tombstone, never deleted)
 *  - p/(number): progress records of chunks of tasks, several in one value, keyed by "(id)/(chunk)", or by
 *    "(id)/(chunk).(tasks)" if the chunk size is not OW_CHUNK_MAX_TASKS: which tasks are done, which
 *    attempts may exist, and on which machines
 *
 * If a progress record is found in two values, the one in the value with the higher mod_revision is valid.
 */
#ifndef OW_MODEL_RECORDS_H
#define OW_MODEL_RECORDS_H

#include "model/submission.h"

#include <glib.h>
#include <stdint.h>

/* Keys, and prefixes of keys. */
#define OW_KEY_LEADER "coordinator"
#define OW_KEY_TYPES "types"
#define OW_KEY_FORMAT "format"
#define OW_KEY_JOBS "j/"
#define OW_KEY_PROGRESS "p/"

/** Formats of records and messages. Until every controller is known to read OW_FORMAT_SMALL_CHUNKS, progress
 * is recorded in chunks of OW_CHUNK_MAX_TASKS tasks; afterwards in chunks as small as the size limit of a
 * value requires, with the chunk size as part of the record's name. */
enum ow_format { OW_FORMAT_FIRST = 1, OW_FORMAT_SMALL_CHUNKS = 2 };
/** Maximum number of tasks in a chunk, which OW_FORMAT_FIRST always uses, and minimum. */
enum { OW_CHUNK_MAX_TASKS = 256, OW_CHUNK_MIN_TASKS = 8 };

/** The record of a job: the value of its key OW_KEY_JOBS + id. */
struct ow_job_record {
    enum ow_job_state state;       /**< OW_JOB_QUEUED for every job that has not ended, running or not */
    double accepted_at;            /**< seconds since the epoch; 0: not recorded */
    uint64_t leader_fencing_token; /**< of a cancelled job: the leader's when the cancellation was recorded */
    struct ow_submission *submission; /**< NULL once the job has ended and none of its tasks can exist */
};

/** An attempt that may exist. */
struct ow_attempt_record {
    uint32_t task;
    uint64_t attempt;     /**< attempt number */
    const char *machine;  /**< name; owned by the owner of the record's other strings */
    uint64_t incarnation; /**< incarnation of the worker that the attempt belongs to */
};

/** The progress of the tasks in a chunk. */
struct ow_progress_record {
    uint64_t last_attempt;    /**< attempt numbers up to this one must not be reused */
    GArray *done;             /**< uint32_t task numbers, ascending; owned */
    GArray *attempts;         /**< struct ow_attempt_record, grouped by machine and incarnation; owned */
    GPtrArray *machine_names; /**< the machine names in `attempts` if the record owns them; otherwise NULL */
};

#endif
