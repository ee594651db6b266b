/** @file
 * The limits of writes to the key-value store: size of a value, mutations of a transaction, rate.
 *
 * The settings give two limits of each kind: the present one, and one announced for some later time, which
 * takes effect without notice. The smaller one is used from the start. Refused writes may lower the limits
 * below the settings; they never rise while the process runs.
 */
#ifndef OW_CORE_RECORDS_STORE_LIMITS_H
#define OW_CORE_RECORDS_STORE_LIMITS_H

#include "model/settings.h"

#include <stdbool.h>
#include <stddef.h>

/** The limits in use. Owned by the core; for records, submissions and cancellations. */
struct ow_store_limits {
    /** The limit for values that can be divided. */
    size_t value_bytes;
    /** The present limit of the store, for a value that can't be divided yet. */
    size_t accepted_value_bytes;
    /** The smallest size known or announced to be refused: what can never be divided must stay below it. */
    size_t refused_value_bytes;
    /** Maximum number of mutations in a transaction. */
    unsigned transaction_mutations;
    /** Rate of mutations of all controllers together. */
    double mutations_per_s;
};

/** The limits that the settings give: of each kind the smaller of the present and the announced one. */
struct ow_store_limits ow_store_limits_from_settings(const struct ow_settings *settings);
/** Lowers the limits after a transaction of `mutations` changes was refused as too large, whatever the
 * settings say; `largest_bytes` is the size of its largest value. If it had several changes, their number
 * alone may have been the cause: later transactions have half as many. If it had a single one, its value was
 * too large: later values have half its size. Returns false if neither can be reduced further. */
bool ow_store_limits_shrink(struct ow_store_limits *limits, unsigned mutations, size_t largest_bytes);
/** How many tasks fit a progress record of their own even if each of them is on another machine: a power of
 * two from OW_CHUNK_MIN_TASKS to OW_CHUNK_MAX_TASKS. */
unsigned ow_store_limits_chunk_tasks(const struct ow_store_limits *limits);

#endif
