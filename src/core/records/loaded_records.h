/** @file
 * Collects the progress records that a new leader reads, and restores the executions from them once all have
 * been read.
 *
 * The same tasks may be recorded in two values, or in chunks of two sizes, if an earlier leader ended before
 * it removed the old record. The value with the higher mod_revision is valid. So records are applied in the
 * order of mod_revision, and each replaces the state of its tasks that earlier ones have restored.
 */
#ifndef OW_CORE_RECORDS_LOADED_RECORDS_H
#define OW_CORE_RECORDS_LOADED_RECORDS_H

struct ow_leader;
struct ow_loaded_records;
struct ow_store_item;

/** Creates an empty collection; freed by ow_loaded_records_free(). */
struct ow_loaded_records *ow_loaded_records_new(void);
/** Frees the collection and the records in it; NULL is allowed. */
void ow_loaded_records_free(struct ow_loaded_records *loaded);
/** Adds the records of a value read from the store, and its record value to the leader. Keys of other kinds
 * are ignored. Records of jobs that are over are queued for removal. */
void ow_loaded_records_add_value(struct ow_loaded_records *loaded, struct ow_leader *leader,
                                 const struct ow_store_item *item);
/** Creates the executions and attempts of all records read. Attempts get the state OW_ATTEMPT_INHERITED until
 * heartbeats show which of them still run. */
void ow_loaded_records_restore(struct ow_loaded_records *loaded, struct ow_leader *leader);

#endif
