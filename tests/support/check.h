/** @file Includes cmocka with the headers that it requires before it, in the required order. */
#ifndef OW_TESTS_CHECK_H
#define OW_TESTS_CHECK_H

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#endif
