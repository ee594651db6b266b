/* The state of the recorder, shared by the modules that write records: recorder.c, write_queue.c,
 * transaction.c and transaction_reply.c. Everybody else uses recorder.h. */
#ifndef OW_CORE_RECORDS_RECORDER_STATE_H
#define OW_CORE_RECORDS_RECORDER_STATE_H

#include "core/records/write_queue.h"
#include "util/rate_limiter.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ow_recorder {
    struct ow_write_queue *queue;
    GPtrArray *sent;         /* struct ow_write, in the transaction under way */
    bool busy;               /* a transaction is under way */
    uint64_t serial;         /* of the last transaction */
    unsigned version_checks; /* reads of versions under way; nothing is written meanwhile */
    double next_at;          /* no transaction before this time */
    struct ow_rate_limiter mutations;
    unsigned sent_mutations; /* of the transaction under way */
    size_t sent_largest;     /* its largest value, in bytes */
};

#endif
