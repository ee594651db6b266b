/** @file
 * Random numbers that identify a process. */
#ifndef OW_IO_RNG_H
#define OW_IO_RNG_H

#include <stdint.h>

/** Returns a random number that differs from that of any other process, even of one that starts at the same
 * time on another machine. */
uint64_t ow_rng_nonce(void);

#endif
