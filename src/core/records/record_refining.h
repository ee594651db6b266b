/** @file
 * Dividing the chunks of an execution whose record does not fit a value of the key-value store.
 */
#ifndef OW_CORE_RECORDS_RECORD_REFINING_H
#define OW_CORE_RECORDS_RECORD_REFINING_H

struct ow_leader;

/** Divides the chunks that were found not to fit a value. No transaction may be under way: none of them may
 * be in it. */
void ow_record_refining_apply(struct ow_leader *leader);

#endif
