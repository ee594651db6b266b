/** @file
 * Dividing the chunks of a job whose record does not fit a value of the key-value store into smaller ones.
 */
#ifndef OW_CORE_RECORDS_CHUNK_DIVISION_H
#define OW_CORE_RECORDS_CHUNK_DIVISION_H

struct ow_leader;

/** Divides the chunks of every job of which a record value has been found to need it
    (`ow_record_value.needs_division`), and queues the new records. The old values stay until these are
   written. No transaction may be in flight: the divided chunks might be in it. */
void ow_chunk_division_run(struct ow_leader *leader);

#endif
