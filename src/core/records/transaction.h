/* Building a transaction: which of the queued writes go into it, and with what text. */
#ifndef OW_CORE_RECORDS_TRANSACTION_H
#define OW_CORE_RECORDS_TRANSACTION_H

struct ow_leader;
struct ow_store_request;

/* How long progress that no launch waits for may wait for other writes, in seconds. */
#define OW_LAZY_WRITE_S 1.5

/* Moves the queued writes that are due into the transaction, as many as the limits allow. Those that were
   moved are the recorder's sent writes until the transaction is answered. */
void ow_transaction_fill(struct ow_leader *leader, struct ow_store_request *transaction);

#endif
