/** @file
 * What a write to the key-value store may hold, and how many writes there may be.
 *
 * The settings give two limits of each kind: that of today, and one that is announced for some later moment,
 * which comes without notice. The smaller one is kept to. The limits may fall below the settings, by
 * refusals, and never rise while the process runs.
 */
#ifndef OW_CORE_RECORDS_STORE_LIMITS_H
#define OW_CORE_RECORDS_STORE_LIMITS_H

#include "model/settings.h"

#include <stdbool.h>
#include <stddef.h>

/** The limits that are kept to. Owned by the core, for records, submissions and cancellations. */
struct ow_store_limits {
    /** Of each value that can be made smaller. */
    size_t value_bytes;
    /** What is still accepted today, for a value that can't be made smaller yet. */
    size_t accepted_value_bytes;
    /** The smallest value known to be refused, or announced to be: what can't be divided must stay below it.
     */
    size_t refused_value_bytes;
    /** The most mutations of a transaction. */
    unsigned transaction_mutations;
    /** Of all controllers together. */
    double mutations_per_s;
};

/** The limits by the settings. */
struct ow_store_limits ow_store_limits_from_settings(const struct ow_settings *settings);
/** Lowers the limits after a transaction of `mutations` changes was refused as too large, whatever the
   settings say; `largest_bytes` is the size of its largest value. If it had several changes, their number
   alone may have been the cause: the next ones have half as many. A single one shows that its value was too
   large, and the next ones are half its size. False when nothing is left to make smaller. */
bool ow_store_limits_shrink(struct ow_store_limits *limits, unsigned mutations, size_t largest_bytes);
/** How many tasks fit a progress record of their own even if each of them is on another machine: a power of
   two from OW_CHUNK_MIN_TASKS to OW_CHUNK_MAX_TASKS. */
unsigned ow_store_limits_chunk_tasks(const struct ow_store_limits *limits);

#endif
