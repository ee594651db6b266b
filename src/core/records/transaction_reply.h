/* Handling the answer to a transaction: what was written counts from then on, and what was not is queued
 * again. */
#ifndef OW_CORE_RECORDS_TRANSACTION_REPLY_H
#define OW_CORE_RECORDS_TRANSACTION_REPLY_H

struct ow_leader;
struct ow_store_reply;

/* Applies the answer to the transaction under way. The leader may be freed by it. */
void ow_transaction_reply_handle(struct ow_leader *leader, const struct ow_store_reply *reply);

#endif
