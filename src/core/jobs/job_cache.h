/** @file
 * Keeps this controller's job table up to date with the key-value store: loads it once, then watches for
 * changes, and refreshes it on request for callers that need a current view. The table itself is in job.h.
 */
#ifndef OW_CORE_JOBS_JOB_CACHE_H
#define OW_CORE_JOBS_JOB_CACHE_H

#include "core/jobs/refresh_waiters.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_job_cache;

/** Creates a cache that loads the table in the following ticks. Freed by ow_job_cache_free(); `core` must
 * outlive it. */
struct ow_job_cache *ow_job_cache_new(struct ow_core *core);
/** Frees the cache and the data of waiting callbacks, which are not called. */
void ow_job_cache_free(struct ow_job_cache *job_cache);
/** Whether the whole table has been read and no change since has been missed. */
bool ow_job_cache_is_loaded(const struct ow_job_cache *job_cache);
/** Calls `fn` after a read that begins later than this call, and then frees `data` with g_free(). Waiting
 * callers share one read. */
void ow_job_cache_refresh(struct ow_job_cache *job_cache, ow_refreshed_fn fn, void *data);
/** Notes that the stored table has changed at `revision`: a refresh is sent soon if this copy is older. */
void ow_job_cache_note_change(struct ow_job_cache *job_cache, uint64_t revision);
/** Logs one line about the reads since the last call, and the callers that wait for one; nothing if there
 * were none. */
void ow_job_cache_log_metrics(struct ow_job_cache *job_cache);
/** Sends the reads that are due. */
void ow_job_cache_tick(struct ow_job_cache *job_cache);

#endif
