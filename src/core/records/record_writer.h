/** @file
 * Sending what the recorder has queued: one transaction at a time, conditioned on the leader's key, so that a
 * deposed leader can change nothing, and on the version of each record, so that one that is applied late
 * changes nothing.
 */
#ifndef OW_CORE_RECORDS_RECORD_WRITER_H
#define OW_CORE_RECORDS_RECORD_WRITER_H

struct ow_leader;

/** Sends the next transaction if one is due and none is under way. */
void ow_record_writer_tick(struct ow_leader *leader);

#endif
