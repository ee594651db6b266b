/* What a write to the state service may hold, and how many there may be: the smaller of what it allows now
 * and of what it will allow from some moment on, for that moment comes without notice. */
#ifndef OW_CORE_LIMITS_H
#define OW_CORE_LIMITS_H

#include "core/settings.h"

#include <stdbool.h>
#include <stddef.h>

struct ow_limits {
    size_t value_bytes;
    size_t value_bytes_now; /* what is still allowed today, where a value can't be made smaller yet */
    unsigned txn_ops;
    double write_rps;
};

struct ow_limits ow_limits_of(const struct ow_settings *settings);
/* A write was refused as too large, whatever the settings say: the next ones are half as large. False when
   there is nothing left to halve. */
bool ow_limits_halve(struct ow_limits *limits);
/* So many tasks fit a progress record of their own even if each of them is on another machine. */
unsigned ow_limits_tasks(const struct ow_limits *limits);

#endif
