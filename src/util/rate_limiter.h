/** @file
 * Rate limiter (a token bucket) for requests to an external service.
 *
 * Invariant: level <= depth. The level may be negative after ow_rate_limiter_spend(): this debt is refilled
 * at the rate before anything can be taken again. The owner passes the time, in seconds on its own clock,
 * which must be monotonic; the limiter itself reads no clock.
 */
#ifndef OW_UTIL_RATE_LIMITER_H
#define OW_UTIL_RATE_LIMITER_H

#include <stdbool.h>

/** A token bucket. Plain data: nothing to free. */
struct ow_rate_limiter {
    double rate;       /**< tokens added per second */
    double depth;      /**< maximum number of tokens, which is the largest burst; at least 1 */
    double level;      /**< tokens at `updated_at`; negative: a debt */
    double updated_at; /**< seconds on the owner's clock */
};

/**
 * Initializes a full bucket.
 * @param rate tokens per second
 * @param depth largest burst in tokens; raised to 1 if smaller, because otherwise nothing could ever be taken
 * @param now seconds on the owner's clock, as in all functions below
 */
void ow_rate_limiter_init(struct ow_rate_limiter *limiter, double rate, double depth, double now);

/** Adds the tokens due since the last update. @return the current number of tokens; negative: a debt */
double ow_rate_limiter_level(struct ow_rate_limiter *limiter, double now);

/** Takes tokens only if all of them are available. @return whether they were taken */
bool ow_rate_limiter_take(struct ow_rate_limiter *limiter, double amount, double now);

/** Takes tokens even if that leaves a debt, for a cost that is known only afterwards or can't be split. */
void ow_rate_limiter_spend(struct ow_rate_limiter *limiter, double amount, double now);

/** Empties the bucket. Called after the service has rejected a request for exceeding its rate, because other
 * clients have used the capacity that this one assumed to be free. */
void ow_rate_limiter_empty(struct ow_rate_limiter *limiter, double now);

#endif
