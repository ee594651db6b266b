#include "io/rng.h"

#include <glib.h>
#include <sys/random.h>
#include <time.h>

/* Half of the bits of a 64-bit number: GLib seeds and draws random numbers in units of 32 bits. */
enum { HALF_BITS = 32 };

static guint32 low_half(uint64_t number)
{
    return (guint32)number;
}

static guint32 high_half(uint64_t number)
{
    return (guint32)(number >> HALF_BITS);
}

uint64_t ow_rng_nonce(void)
{
    uint64_t entropy = 0;
    if (getrandom(&entropy, sizeof entropy, 0) != (ssize_t)sizeof entropy)
        entropy = 0;
    struct timespec time_of_day;
    struct timespec monotonic;
    clock_gettime(CLOCK_REALTIME, &time_of_day);
    clock_gettime(CLOCK_MONOTONIC, &monotonic);
    /* Both clocks are included: the random bytes may repeat on a machine that has just been started. */
    const guint32 seed[] = {
        low_half(entropy),           high_half(entropy),
        (guint32)time_of_day.tv_sec, (guint32)time_of_day.tv_nsec,
        (guint32)monotonic.tv_sec,   (guint32)monotonic.tv_nsec,
    };
    g_autoptr(GRand) rand = g_rand_new_with_seed_array(seed, G_N_ELEMENTS(seed));
    uint64_t high = g_rand_int(rand);
    return (high << HALF_BITS) | g_rand_int(rand);
}
