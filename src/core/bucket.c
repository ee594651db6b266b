#include "core/bucket.h"

#include <glib.h>

void ow_bucket_init(struct ow_bucket *bucket, double rate, double depth, double now)
{
    *bucket = (struct ow_bucket){.rate = rate, .depth = MAX(depth, 1.0), .level = MAX(depth, 1.0), .at = now};
}

double ow_bucket_level(struct ow_bucket *bucket, double now)
{
    bucket->level = MIN(bucket->depth, bucket->level + (now - bucket->at) * bucket->rate);
    bucket->at = now;
    return bucket->level;
}

bool ow_bucket_take(struct ow_bucket *bucket, double amount, double now)
{
    if (ow_bucket_level(bucket, now) < amount)
        return false;
    bucket->level -= amount;
    return true;
}

void ow_bucket_spend(struct ow_bucket *bucket, double amount, double now)
{
    ow_bucket_level(bucket, now);
    bucket->level -= amount;
}

void ow_bucket_empty(struct ow_bucket *bucket, double now)
{
    bucket->level = 0;
    bucket->at = now;
}
