#include "util/rate_limiter.h"

#include <glib.h>

/* In tokens. A bucket that holds less than one token could never serve a request. */
static const double MIN_DEPTH = 1.0;

void ow_rate_limiter_init(struct ow_rate_limiter *limiter, double rate, double depth, double now)
{
    double bounded_depth = MAX(depth, MIN_DEPTH);
    *limiter = (struct ow_rate_limiter){
        .rate = rate,
        .depth = bounded_depth,
        .level = bounded_depth,
        .updated_at = now,
    };
}

double ow_rate_limiter_level(struct ow_rate_limiter *limiter, double now)
{
    double added = (now - limiter->updated_at) * limiter->rate;
    limiter->level = MIN(limiter->depth, limiter->level + added);
    limiter->updated_at = now;
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
    limiter->updated_at = now;
}
