#include "core/records/store_limits.h"

#include "model/records.h"

/* What one task takes in a progress record at most: a machine with its incarnation, the task and its attempt,
   or a mark among those that are done. Beside them a record has its name and its frame. */
enum { TASK_BYTES = 30, FRAME_BYTES = 150, LEAST_BYTES = 256 };

struct ow_store_limits ow_store_limits_of(const struct ow_settings *s)
{
    struct ow_store_limits limits = {
        .value_bytes = (size_t)(MIN(s->value_kb, s->next_value_kb) * 1024),
        .value_bytes_now = (size_t)(s->value_kb * 1024),
        .refused_bytes = (size_t)(MIN(s->value_kb, s->next_value_kb) * 1024) + 1,
        .txn_ops = MIN(s->txn_ops, s->next_txn_ops),
        .write_rps = MIN(s->store_write_rps, s->next_write_rps),
    };
    return limits;
}

bool ow_store_limits_refused(struct ow_store_limits *limits, unsigned mutations, size_t largest)
{
    if (mutations > 1) {
        limits->txn_ops = MAX(MIN(limits->txn_ops, mutations) / 2, 1);
        return true;
    }
    limits->refused_bytes = MIN(limits->refused_bytes, largest);
    /* A value that could not be made smaller: it tells nothing of those that are. */
    if (largest > limits->value_bytes) {
        limits->value_bytes_now = limits->value_bytes;
        return false;
    }
    if (limits->value_bytes <= LEAST_BYTES)
        return false;
    limits->value_bytes = MAX(MIN(limits->value_bytes, largest) / 2, LEAST_BYTES);
    limits->value_bytes_now = limits->value_bytes;
    return true;
}

unsigned ow_store_limits_tasks(const struct ow_store_limits *limits)
{
    unsigned tasks = OW_LEAST_CHUNK_TASKS;
    while (tasks < OW_CHUNK_TASKS && FRAME_BYTES + 2 * tasks * TASK_BYTES <= limits->value_bytes)
        tasks *= 2;
    return tasks;
}
