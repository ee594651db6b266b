/** @file
 * Rate limiter (a token bucket): how much may be asked of an outside service now.
 *
 * Invariant: level <= depth. The level may be negative after ow_rate_limiter_spend(): that debt is paid off
 * at the rate before anything may be taken again. The owner passes the time, in seconds on its own clock,
 * which must not go back; the limiter reads no clock.
 */
#ifndef OW_UTIL_RATE_LIMITER_H
#define OW_UTIL_RATE_LIMITER_H

#include <stdbool.h>

/** A token bucket. Plain data of its owner: nothing to free. */
struct ow_rate_limiter {
    double rate;       /**< tokens added each second */
    double depth;      /**< the most that it holds: the largest burst; at least 1 */
    double level;      /**< tokens held at `updated_at`; negative: a debt */
    double updated_at; /**< seconds on the owner's clock */
};

/**
 * Sets up a full bucket.
 * @param rate tokens a second
 * @param depth largest burst in tokens; a smaller one than 1 counts as 1, else nothing could ever be taken
 * @param now seconds on the owner's clock, as in all functions below
 */
void ow_rate_limiter_init(struct ow_rate_limiter *limiter, double rate, double depth, double now);

/** Adds what is due since the last call. @return tokens that are held now; negative: a debt */
double ow_rate_limiter_level(struct ow_rate_limiter *limiter, double now);

/** Takes the amount only if all of it is there. @return whether it was taken */
bool ow_rate_limiter_take(struct ow_rate_limiter *limiter, double amount, double now);

/** Takes the amount even if that leaves a debt: for a cost that is only known afterwards or can't be split.
 */
void ow_rate_limiter_spend(struct ow_rate_limiter *limiter, double amount, double now);

/** Empties the bucket after the service has refused for its rate: others have used what we thought was free.
 */
void ow_rate_limiter_empty(struct ow_rate_limiter *limiter, double now);

#endif
