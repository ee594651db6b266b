/** @file
 * Handling the reply to the transaction in flight: what was written counts from then on, and what was not is
 * queued again.
 *
 * What each status means for the recorder:
 *  - OK: committed. Planned attempts that it records may be launched from now on.
 *  - CONFLICT on the leader key: another controller leads. This leader is deposed, and may be freed at once.
 *  - CONFLICT on another key: its last change is not the one that we know of, and nothing was written. An
 *    earlier transaction without a response was carried out after all, or (a job's record) another controller
 *    recorded a cancellation. No transaction is sent before the present mod_revision has been read.
 *  - BAD_REQUEST: too large. The limits are lowered, so that the next transactions are smaller.
 *  - TOO_MANY_REQUESTS: the allowance for mutations is taken to be used up, and grows again at its rate.
 *  - anything else, NONE included: it may have been carried out, or may still be. The comparisons keep it
 *    from being applied twice.
 *
 * After every failure but the first CONFLICT the records are written again after a pause, with texts made
 * anew from the state of then.
 */
#ifndef OW_CORE_RECORDS_TRANSACTION_REPLY_H
#define OW_CORE_RECORDS_TRANSACTION_REPLY_H

struct ow_leader;
struct ow_store_reply;

/** Applies the reply to the transaction in flight. The leader may be freed by it. */
void ow_transaction_reply_handle(struct ow_leader *leader, const struct ow_store_reply *reply);

#endif
