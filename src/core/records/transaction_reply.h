/** @file
 * Handles the reply to the transaction in flight: marks its writes as committed, or queues them again.
 *
 * What each status means for the recorder:
 *  - OK: committed. Planned attempts that it records may be launched from now on.
 *  - CONFLICT on the leader key: another controller leads. This leader is deposed, and may be freed at once.
 *  - CONFLICT on another key: its mod_revision is not the one known to the leader, and nothing was
 *    written. An earlier transaction without a response was committed after all or, for a job's record,
 *    another controller recorded a cancellation. No transaction is sent before the present mod_revision has
 *    been read.
 *  - BAD_REQUEST: too large. The limits are lowered, so that later transactions are smaller.
 *  - TOO_MANY_REQUESTS: the rate limiter of mutations is emptied, and refills at its rate.
 *  - any other status, including NONE: the transaction may have been committed, or may still be. The
 *    comparisons keep it from being applied twice.
 *
 * After every failure except a CONFLICT on the leader key the writes are queued again. Their records are
 * encoded again when they are sent, after a pause.
 */
#ifndef OW_CORE_RECORDS_TRANSACTION_REPLY_H
#define OW_CORE_RECORDS_TRANSACTION_REPLY_H

struct ow_leader;
struct ow_store_reply;

/** Applies the reply to the transaction in flight. The leader may be freed by it. */
void ow_transaction_reply_handle(struct ow_leader *leader, const struct ow_store_reply *reply);

#endif
