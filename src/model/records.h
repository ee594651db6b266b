/* What the key-value store keeps for us, as plain data.
 *
 *   coordinator      who leads; attached to a short lease
 *   format           the newest format of records that every controller reads; absent: 1
 *   types            the machine types last seen
 *   j/<id>           a job: its submission, or how it ended (a tombstone, kept forever)
 *   p/<number>       progress of runs of tasks, several in one value, by "<id>/<chunk>", or
 *                    "<id>/<chunk>.<tasks>" where a run has not 256 tasks: what is done, which
 *                    attempts may exist, and where. Of a record found in two values the newer value's counts
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

/* Formats of records and messages. Before every controller is known to read FINE, progress is recorded in
   runs of 256 tasks; with it in runs as small as values have to be, whose size stands in their name. */
enum { OW_FORMAT_FIRST = 1, OW_FORMAT_FINE = 2 };
/* The tasks of a chunk in the first format, the most that a chunk may have; and the fewest. */
enum { OW_CHUNK_TASKS = 256, OW_LEAST_CHUNK_TASKS = 8 };

struct ow_job_record {
    enum ow_job_state state;          /* queued stands for every job that is not over */
    double accepted_at;               /* time of day; 0: not recorded */
    uint64_t leader_fencing_token;    /* of a cancelled one: who led when that was recorded */
    struct ow_submission *submission; /* NULL once over and no task of it may be left */
};

struct ow_live_record {
    uint32_t task;
    uint64_t attempt;
    const char *machine;
    uint64_t incarnation;
};

struct ow_progress_record {
    uint64_t last_attempt;    /* no attempt number up to it may be used again */
    GArray *done;             /* uint32_t task numbers, ascending */
    GArray *live;             /* struct ow_live_record, grouped by machine and incarnation */
    GPtrArray *machine_names; /* the texts of `live`, if they are the record's own; else NULL */
};

#endif
