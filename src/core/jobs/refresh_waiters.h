/** @file
 * Callers that wait for a read of the job table. Owns `struct ow_refresh_waiters` and the callers' data.
 */
#ifndef OW_CORE_JOBS_REFRESH_WAITERS_H
#define OW_CORE_JOBS_REFRESH_WAITERS_H

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_refresh_waiters;

/** The result of a read for callers that wait for it. */
enum ow_refresh_result {
    OW_REFRESH_DONE,       /**< the table is at least as new as the request for the read */
    OW_REFRESH_FAILED,     /**< the key-value store refused the read or did not answer it */
    OW_REFRESH_NOT_LOADED, /**< the whole table has not been read yet */
};

/** A read that has ended. */
struct ow_refresh {
    double sent_at;    /**< by the core's clock */
    uint64_t revision; /**< of the store, up to which it has read */
    bool has_succeeded;
};

/** Called with the result of a read. `data` is freed after the call. */
typedef void (*ow_refreshed_fn)(struct ow_core *core, void *data, enum ow_refresh_result result);

/** Creates an empty list; freed by ow_refresh_waiters_free(). */
struct ow_refresh_waiters *ow_refresh_waiters_new(void);
/** Frees the list and the data of its callers, which are not called. */
void ow_refresh_waiters_free(struct ow_refresh_waiters *waiters);
/** Adds a caller at time `now`. Takes ownership of `data`, which is freed with g_free(). */
void ow_refresh_waiters_add(struct ow_refresh_waiters *waiters, ow_refreshed_fn fn, void *data, double now);
/** The number of callers. */
unsigned ow_refresh_waiters_count(const struct ow_refresh_waiters *waiters);
/** Seconds since the first of the callers was added; 0 if there is none. */
double ow_refresh_waiters_oldest_s(const struct ow_refresh_waiters *waiters, double now);
/** Removes all callers, and calls them with the result. A callback may add a caller. */
void ow_refresh_waiters_answer(struct ow_refresh_waiters *waiters, struct ow_core *core,
                               enum ow_refresh_result result);

/** Calls all callers with the result of a read that has ended. Answers from a read that was sent before a
 * caller had asked for it could be older than one given before: they are refused (invariants.h). */
void ow_refresh_waiters_finish(struct ow_refresh_waiters *waiters, struct ow_core *core,
                               const struct ow_refresh *refresh);

#endif
