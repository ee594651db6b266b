/** @file
 * The records that controllers keep in the key-value store, as plain data. wire/records_json.h encodes them.
 *
 * Keys:
 * @verbatim coordinator      who leads; deleted when the leader's short lease expires format           the
 * newest format of records that every controller reads; absent: OW_FORMAT_FIRST types            the machine
 * types last seen j/<id>           a job: its submission, or how it ended (a tombstone, kept forever)
 * p/<number>       progress records of chunks of tasks, several in one value, by "<id>/<chunk>", or by
 * "<id>/<chunk>.<tasks>" where a chunk has not OW_CHUNK_MAX_TASKS tasks: what is done, which attempts may
 * exist, and where
 * @endverbatim
 *
 * Of a progress record that is found in two values, the one in the value with the higher mod_revision counts.
 */
#ifndef OW_MODEL_RECORDS_H
#define OW_MODEL_RECORDS_H

#include "model/submission.h"

#include <glib.h>
#include <stdint.h>

#define OW_KEY_LEADER "coordinator"
#define OW_KEY_TYPES "types"
#define OW_KEY_FORMAT "format"
#define OW_KEY_JOBS "j/"
#define OW_KEY_PROGRESS "p/"

/** Formats of records and messages. Until every controller is known to read SMALL_CHUNKS, progress is
 * recorded in chunks of OW_CHUNK_MAX_TASKS tasks; from then on in chunks as small as the size limit of a
 * value requires. The chunk size is then part of the record's name. */
enum ow_format { OW_FORMAT_FIRST = 1, OW_FORMAT_SMALL_CHUNKS = 2 };
/** The maximum number of tasks of a chunk, which the first format always uses, and the minimum. */
enum { OW_CHUNK_MAX_TASKS = 256, OW_CHUNK_MIN_TASKS = 8 };

/** A job as it is recorded. */
struct ow_job_record {
    enum ow_job_state state;          /**< OW_JOB_QUEUED for every job that is not over, running or not */
    double accepted_at;               /**< time of day in seconds; 0: not recorded */
    uint64_t leader_fencing_token;    /**< of a cancelled job: that of the leader when the cancellation was
                                         recorded */
    struct ow_submission *submission; /**< NULL once over and no task of it may be left */
};

/** An attempt that may exist. */
struct ow_attempt_record {
    uint32_t task;
    uint64_t attempt;     /**< its number */
    const char *machine;  /**< a name, owned by whoever owns the record's other texts */
    uint64_t incarnation; /**< the worker's incarnation that it belongs to */
};

/** The progress of the tasks of a chunk. */
struct ow_progress_record {
    uint64_t last_attempt;    /**< no attempt number up to it may be used again */
    GArray *done;             /**< uint32_t task numbers, ascending; owned */
    GArray *attempts;         /**< struct ow_attempt_record, grouped by machine and incarnation; owned */
    GPtrArray *machine_names; /**< the machines of `attempts`, if they are the record's own; else NULL */
};

#endif
