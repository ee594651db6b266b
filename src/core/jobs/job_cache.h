/** @file
 * Keeping this controller's job table current with the key-value store: it is read whole once, then changes
 * are watched for, and whoever needs to be sure asks for a read. The table itself is job.h's.
 */
#ifndef OW_CORE_JOBS_JOB_CACHE_H
#define OW_CORE_JOBS_JOB_CACHE_H

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_job_cache;

/** Called once the table is at least as new as the call that asked for it, or with `ok` false if that failed.
 * `data` stays the job cache's. */
typedef void (*ow_fresh_fn)(struct ow_core *core, void *data, bool ok);

/** Nothing has been read yet; that is done by the ticks that follow. Freed by ow_job_cache_free(); `core`
 * must outlive it. */
struct ow_job_cache *ow_job_cache_new(struct ow_core *core);
/** Frees it; calls that still wait are dropped. */
void ow_job_cache_free(struct ow_job_cache *job_cache);
/** Whether the whole table has been read and no change since has been missed. */
bool ow_job_cache_is_loaded(const struct ow_job_cache *job_cache);
/** Calls `fn` after a read that begins later than this call. `data` is freed with g_free after the call.
 * Waiting calls share one read. */
void ow_job_cache_refresh(struct ow_job_cache *job_cache, ow_fresh_fn fn, void *data);
/** The table has changed elsewhere, up to `revision`: it is read soon if ours is older. */
void ow_job_cache_hint(struct ow_job_cache *job_cache, uint64_t revision);
/** Sends the reads that are due. */
void ow_job_cache_tick(struct ow_job_cache *job_cache);

#endif
