/** @file
 * The state of the recorder, as plain data for the modules that write records. All other modules use
 * recorder.h.
 */
#ifndef OW_CORE_RECORDS_RECORDER_STATE_H
#define OW_CORE_RECORDS_RECORDER_STATE_H

#include "core/records/write_queue.h"
#include "util/rate_limiter.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The queue of writes, and the one transaction that may be in flight. */
struct ow_recorder {
    struct ow_write_queue *queue;            /**< owned */
    struct ow_rate_limiter mutation_limiter; /**< limits the mutations that the leader writes */
    double next_at;                          /**< no transaction before this time: transaction_reply.c */
    unsigned mod_revision_reads; /**< in flight; nothing is written meanwhile: transaction_reply.c */

    uint64_t transaction_serial;    /**< of the last transaction; each attempt keeps that of its record */
    bool is_in_flight;              /**< that transaction is not answered yet */
    GPtrArray *writes_in_flight;    /**< struct ow_write, owned; in that transaction */
    unsigned mutations_in_flight;   /**< how many mutations that transaction has */
    size_t largest_bytes_in_flight; /**< of the largest value in that transaction */
};

#endif
