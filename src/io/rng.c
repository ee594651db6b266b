#include "io/rng.h"

#include <glib.h>
#include <sys/random.h>
#include <time.h>

enum { BITS_OF_HALF = 32 };

static guint32 low_half(uint64_t number)
{
    return (guint32)number;
}

static guint32 high_half(uint64_t number)
{
    return (guint32)(number >> BITS_OF_HALF);
}

uint64_t ow_rng_nonce(void)
{
    uint64_t entropy = 0;
    if (getrandom(&entropy, sizeof entropy, 0) != (ssize_t)sizeof entropy)
        entropy = 0;
    struct timespec time_of_day;
    struct timespec steady;
    clock_gettime(CLOCK_REALTIME, &time_of_day);
    clock_gettime(CLOCK_MONOTONIC, &steady);
    /* Both clocks too: a machine just started may hand out the same random bytes again. */
    const guint32 seed[] = {
        low_half(entropy),           high_half(entropy),
        (guint32)time_of_day.tv_sec, (guint32)time_of_day.tv_nsec,
        (guint32)steady.tv_sec,      (guint32)steady.tv_nsec,
    };
    g_autoptr(GRand) rand = g_rand_new_with_seed_array(seed, G_N_ELEMENTS(seed));
    uint64_t high = g_rand_int(rand);
    return (high << BITS_OF_HALF) | g_rand_int(rand);
}
