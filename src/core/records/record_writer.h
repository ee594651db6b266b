/** @file
 * The record writer: sends the queued records to the key-value store, one transaction at a time.
 *
 * See recorder.h for the invariants of the write path.
 */
#ifndef OW_CORE_RECORDS_RECORD_WRITER_H
#define OW_CORE_RECORDS_RECORD_WRITER_H

struct ow_leader;

/** Sends the next transaction if there is something to write, the rate of mutations permits it and none is in
 * flight. */
void ow_record_writer_tick(struct ow_leader *leader);

#endif
