#include "core/records/record_writer.h"

#include "core/leader/leader_state.h"
#include "core/records/chunk_division.h"
#include "core/records/recorder_state.h"
#include "core/records/transaction.h"
#include "core/records/transaction_reply.h"
#include "model/event.h"
#include "model/records.h"

static bool may_send(struct ow_recorder *recorder, double now)
{
    if (recorder->is_in_flight || recorder->mod_revision_reads > 0 || now < recorder->next_at)
        return false;
    if (ow_write_queue_length(recorder->queue) == 0)
        return false;
    return ow_rate_limiter_level(&recorder->mutation_limiter, now) >= 1;
}

static void on_transaction_reply(void *owner, void *data, const struct ow_event *answer)
{
    (void)data;
    ow_transaction_reply_handle(owner, &answer->store);
}

static void send_transaction(struct ow_leader *leader, struct ow_store_request *transaction)
{
    struct ow_recorder *recorder = leader->recorder;
    recorder->mutations_in_flight = transaction->mutations->len;
    recorder->largest_bytes_in_flight = ow_store_request_largest_value(transaction);
    recorder->is_in_flight = true;
    ow_rate_limiter_spend(&recorder->mutation_limiter, recorder->mutations_in_flight, leader->core->now);
    ow_core_call_store(leader->core, transaction, on_transaction_reply, leader, NULL, NULL);
}

void ow_record_writer_tick(struct ow_leader *leader)
{
    if (!may_send(leader->recorder, leader->core->now))
        return;
    ow_chunk_division_run(leader);
    g_autoptr(ow_store_request) transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_request_compare(transaction, OW_KEY_LEADER, leader->fencing_token);
    leader->recorder->transaction_serial++;
    ow_transaction_fill(leader, transaction);
    if (transaction->mutations->len > 0)
        send_transaction(leader, g_steal_pointer(&transaction));
}
