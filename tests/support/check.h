/** @file What every test file includes for cmocka, in the order that it wants. */
#ifndef OW_TESTS_CHECK_H
#define OW_TESTS_CHECK_H

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#endif
