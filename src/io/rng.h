/* Numbers that no other process has. */
#ifndef OW_IO_RNG_H
#define OW_IO_RNG_H

#include <stdint.h>

uint64_t ow_rng_nonce(void);

#endif
