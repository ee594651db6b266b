#include "util/rate_limiter.h"

#include <glib.h>

void ow_rate_limiter_init(struct ow_rate_limiter *limiter, double rate, double depth, double now)
{
    *limiter =
        (struct ow_rate_limiter){.rate = rate, .depth = MAX(depth, 1.0), .level = MAX(depth, 1.0), .at = now};
}

double ow_rate_limiter_level(struct ow_rate_limiter *limiter, double now)
{
    limiter->level = MIN(limiter->depth, limiter->level + (now - limiter->at) * limiter->rate);
    limiter->at = now;
    return limiter->level;
}

bool ow_rate_limiter_take(struct ow_rate_limiter *limiter, double amount, double now)
{
    if (ow_rate_limiter_level(limiter, now) < amount)
        return false;
    limiter->level -= amount;
    return true;
}

void ow_rate_limiter_spend(struct ow_rate_limiter *limiter, double amount, double now)
{
    ow_rate_limiter_level(limiter, now);
    limiter->level -= amount;
}

void ow_rate_limiter_empty(struct ow_rate_limiter *limiter, double now)
{
    limiter->level = 0;
    limiter->at = now;
}
