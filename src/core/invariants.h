/** @file
 * Invariants that are checked at run time, at the last point before something leaves the core. A violation is
 * a fault of this program: it is logged as an error and counted, and the caller must refuse what it was about
 * to do. Tests fail on any violation.
 */
#ifndef OW_CORE_INVARIANTS_H
#define OW_CORE_INVARIANTS_H

#include <stdbool.h>
#include <stdint.h>

struct ow_core;

/** What a check is about, for the log line. */
struct ow_invariant {
    const char *name;       /**< fixed words with underscores */
    const char *subject;    /**< the job or machine concerned; NULL: none */
    uint64_t fencing_token; /**< that the action rests on; 0: none */
    uint64_t revision;      /**< of the store, that the action rests on; 0: none */
    double age_s;           /**< of the knowledge that the action rests on */
};

/** Returns `holds`. If that is false, logs the violation and counts it. */
bool ow_invariant_check(struct ow_core *core, bool holds, const struct ow_invariant *invariant);

#endif
