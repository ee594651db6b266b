#include "core/records/record_writer.h"

#include "core/leader/leader_state.h"
#include "core/records/record_refining.h"
#include "core/records/recorder_state.h"
#include "core/records/transaction.h"
#include "core/records/transaction_reply.h"
#include "model/event.h"
#include "model/records.h"

static void on_transaction(void *owner, void *data, const struct ow_event *answer)
{
    (void)data;
    ow_transaction_reply_handle(owner, &answer->store);
}

static bool may_write(struct ow_recorder *recorder, double now)
{
    if (recorder->busy || recorder->version_checks > 0 || now < recorder->next_at)
        return false;
    if (ow_write_queue_length(recorder->queue) == 0)
        return false;
    return ow_rate_limiter_level(&recorder->mutations, now) >= 1;
}

void ow_record_writer_tick(struct ow_leader *leader)
{
    struct ow_recorder *recorder = leader->recorder;
    double now = leader->core->now;
    if (!may_write(recorder, now))
        return;
    ow_record_refining_apply(leader);
    struct ow_store_request *transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_compare(transaction, OW_KEY_LEADER, leader->fencing_token);
    recorder->serial++;
    ow_transaction_fill(leader, transaction);
    if (transaction->mutations->len == 0) {
        ow_store_request_free(transaction);
        return;
    }
    ow_rate_limiter_spend(&recorder->mutations, transaction->mutations->len, now);
    recorder->sent_mutations = transaction->mutations->len;
    recorder->sent_largest = ow_store_largest_value(transaction);
    recorder->busy = true;
    ow_core_call_store(leader->core, transaction, on_transaction, leader, NULL, NULL);
}
