/* What a write to the key-value store may hold, and how many there may be: the smaller of what it allows now
 * and of what it will allow from some moment on, for that moment comes without notice. */
#ifndef OW_CORE_RECORDS_STORE_LIMITS_H
#define OW_CORE_RECORDS_STORE_LIMITS_H

#include "model/settings.h"

#include <stdbool.h>
#include <stddef.h>

struct ow_store_limits {
    size_t value_bytes;
    size_t value_bytes_now; /* what is still allowed today, where a value can't be made smaller yet */
    size_t refused_bytes; /* the smallest value known to be refused: what can't be divided may come so near */
    unsigned txn_ops;
    double write_rps;
};

struct ow_store_limits ow_store_limits_of(const struct ow_settings *settings);
/* A transaction of so many changes was refused as too large, whatever the settings say; `largest` is the size
   of its largest value. While it had several changes, that may have been their number alone: the next ones
   have half as many. A single one shows that its value was too large, and the next are half its size. False
   when there is nothing left to make smaller. */
bool ow_store_limits_refused(struct ow_store_limits *limits, unsigned mutations, size_t largest);
/* So many tasks fit a progress record of their own even if each of them is on another machine. */
unsigned ow_store_limits_tasks(const struct ow_store_limits *limits);

#endif
