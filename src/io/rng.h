/** @file
 * Random numbers that tell processes apart. */
#ifndef OW_IO_RNG_H
#define OW_IO_RNG_H

#include <stdint.h>

/** A number that no other process has, not even one that starts at the same moment on another machine. */
uint64_t ow_rng_nonce(void);

#endif
