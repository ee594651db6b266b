/* A token bucket: how much may be asked of an outside service now. */
#ifndef OW_UTIL_RATE_LIMITER_H
#define OW_UTIL_RATE_LIMITER_H

#include <stdbool.h>

struct ow_rate_limiter {
    double rate, depth, level, at;
};

void ow_rate_limiter_init(struct ow_rate_limiter *limiter, double rate, double depth, double now);
double ow_rate_limiter_level(struct ow_rate_limiter *limiter, double now);
bool ow_rate_limiter_take(struct ow_rate_limiter *limiter, double amount, double now);
/* Takes the amount even if that leaves a debt. */
void ow_rate_limiter_spend(struct ow_rate_limiter *limiter, double amount, double now);
/* After a refusal from the other side: somebody else has used the room. */
void ow_rate_limiter_empty(struct ow_rate_limiter *limiter, double now);

#endif
