/** @file
 * Builds a transaction: selects the queued writes that it carries, and encodes their values.
 *
 * A write is left in the queue, or queued again, while something else must be written before it: see
 * recorder.h for the invariants of the write path.
 */
#ifndef OW_CORE_RECORDS_TRANSACTION_H
#define OW_CORE_RECORDS_TRANSACTION_H

struct ow_leader;
struct ow_store_request;

/** Moves the queued writes that are due into the transaction, the most urgent first and as many as the limits
 * of the key-value store allow. Those that were moved are the recorder's `writes_in_flight` until the
 * transaction is answered. The transaction may be left without mutations. */
void ow_transaction_fill(struct ow_leader *leader, struct ow_store_request *transaction);

#endif
