#include "io/rng.h"

#include <glib.h>
#include <sys/random.h>
#include <time.h>

uint64_t ow_rng_nonce(void)
{
    uint64_t number = 0;
    struct timespec day, steady;
    if (getrandom(&number, sizeof number, 0) != (ssize_t)sizeof number)
        number = 0;
    clock_gettime(CLOCK_REALTIME, &day);
    clock_gettime(CLOCK_MONOTONIC, &steady);
    /* Both clocks too: a machine just started may hand out the same random bytes again. */
    guint32 seed[] = {(guint32)number,      (guint32)(number >> 32), (guint32)day.tv_sec,
                      (guint32)day.tv_nsec, (guint32)steady.tv_sec,  (guint32)steady.tv_nsec};
    GRand *rand = g_rand_new_with_seed_array(seed, G_N_ELEMENTS(seed));
    number = ((uint64_t)g_rand_int(rand) << 32) | g_rand_int(rand);
    g_rand_free(rand);
    return number;
}
