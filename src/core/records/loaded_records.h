/** @file
 * The progress records that a new leader has read, until all are there and the executions are restored from
 * them.
 *
 * A record may be found in two values, or its tasks in chunks of two sizes, when an earlier leader ended
 * before it removed the old one. The value with the higher mod_revision counts: so records are applied in the
 * order of their mod_revision, each replacing what earlier ones said of its tasks.
 */
#ifndef OW_CORE_RECORDS_LOADED_RECORDS_H
#define OW_CORE_RECORDS_LOADED_RECORDS_H

struct ow_leader;
struct ow_loaded_records;
struct ow_store_item;

/** No records; freed by ow_loaded_records_free(). */
struct ow_loaded_records *ow_loaded_records_new(void);
/** Frees the records; NULL is allowed. */
void ow_loaded_records_free(struct ow_loaded_records *loaded);
/** Takes in a value as it was read, and adds its record value to the leader. Keys that are not of progress
   are ignored. What it holds of jobs that are over is queued to be removed. */
void ow_loaded_records_add_value(struct ow_loaded_records *loaded, struct ow_leader *leader,
                                 const struct ow_store_item *item);
/** Creates the executions and attempts of all records read. Attempts are inherited: the workers' heartbeats
   tell which of them still run. */
void ow_loaded_records_restore(struct ow_loaded_records *loaded, struct ow_leader *leader);

#endif
