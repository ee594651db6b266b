#include "core/records/store_limits.h"

#include "model/records.h"

enum { BYTES_PER_KB = 1024 };
/* Upper bounds of the bytes of a progress record: for each task its machine, incarnation, number and attempt,
   or its entry in the list of done tasks; and, once for each record, its name and all other text. */
enum { TASK_BYTES = 30, RECORD_OVERHEAD_BYTES = 150 };
/* The maximum size of a value is never reduced below this. */
enum { VALUE_MIN_BYTES = 256 };

struct ow_store_limits ow_store_limits_from_settings(const struct ow_settings *settings)
{
    size_t value_bytes = (size_t)(MIN(settings->value_kb, settings->next_value_kb) * BYTES_PER_KB);
    return (struct ow_store_limits){
        .value_bytes = value_bytes,
        .accepted_value_bytes = (size_t)(settings->value_kb * BYTES_PER_KB),
        .refused_value_bytes = value_bytes + 1,
        .transaction_mutations = MIN(settings->txn_ops, settings->next_txn_ops),
        .mutations_per_s = MIN(settings->store_write_rps, settings->next_write_rps),
    };
}

/* The number of mutations alone may have been too large: later transactions have half as many. */
static void halve_transactions(struct ow_store_limits *limits, unsigned mutations)
{
    unsigned refused = MIN(limits->transaction_mutations, mutations);
    limits->transaction_mutations = MAX(refused / 2, 1);
}

/* Later values have half the size of the refused one. Returns false if the limit is at its minimum. */
static bool halve_values(struct ow_store_limits *limits, size_t refused_bytes)
{
    if (limits->value_bytes <= VALUE_MIN_BYTES)
        return false;
    size_t smallest_refused_bytes = MIN(limits->value_bytes, refused_bytes);
    limits->value_bytes = MAX(smallest_refused_bytes / 2, VALUE_MIN_BYTES);
    limits->accepted_value_bytes = limits->value_bytes;
    return true;
}

bool ow_store_limits_shrink(struct ow_store_limits *limits, unsigned mutations, size_t largest_bytes)
{
    if (mutations > 1) {
        halve_transactions(limits, mutations);
        return true;
    }
    limits->refused_value_bytes = MIN(limits->refused_value_bytes, largest_bytes);
    /* The value was above the limit already because it can't be divided yet. Its refusal is no evidence about
       values within the limit, so `value_bytes` stays. */
    if (largest_bytes > limits->value_bytes) {
        limits->accepted_value_bytes = limits->value_bytes;
        return false;
    }
    return halve_values(limits, largest_bytes);
}

unsigned ow_store_limits_chunk_tasks(const struct ow_store_limits *limits)
{
    unsigned tasks = OW_CHUNK_MIN_TASKS;
    while (tasks < OW_CHUNK_MAX_TASKS &&
           RECORD_OVERHEAD_BYTES + 2 * tasks * TASK_BYTES <= limits->value_bytes)
        tasks *= 2;
    return tasks;
}
