/** @file
 * Divides the chunks of a job into smaller ones when the record of one exceeds the limit of a value.
 */
#ifndef OW_CORE_RECORDS_CHUNK_DIVISION_H
#define OW_CORE_RECORDS_CHUNK_DIVISION_H

struct ow_leader;

/** Divides the chunks of every job that has a record value with `needs_division`, and queues the new records.
 * The old values stay until these are written. No transaction may be in flight: it might refer to the chunks
 * that are replaced. */
void ow_chunk_division_run(struct ow_leader *leader);

#endif
