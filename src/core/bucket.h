/* A token bucket: how much may be asked of an outside service now. */
#ifndef OW_CORE_BUCKET_H
#define OW_CORE_BUCKET_H

#include <stdbool.h>

struct ow_bucket {
    double rate, depth, level, at;
};

void ow_bucket_init(struct ow_bucket *bucket, double rate, double depth, double now);
double ow_bucket_level(struct ow_bucket *bucket, double now);
bool ow_bucket_take(struct ow_bucket *bucket, double amount, double now);
/* Takes the amount even if that leaves a debt. */
void ow_bucket_spend(struct ow_bucket *bucket, double amount, double now);
/* After a refusal from the other side: somebody else has used the room. */
void ow_bucket_empty(struct ow_bucket *bucket, double now);

#endif
