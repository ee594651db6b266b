#include "core/records/failover.h"

#include "core/jobs/job_cache.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/peers/machine_hints.h"
#include "core/records/loaded_records.h"
#include "core/records/record_format.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/peer.h"
#include "model/records.h"

#include <inttypes.h>

/* Delay before a failed read is repeated. */
static const double RETRY_S = 0.3;

struct ow_failover {
    bool is_reading;                  /* a read is in flight */
    double next_at;                   /* no read before this time */
    char *last_key_read;              /* of the progress records; NULL: none yet */
    struct ow_loaded_records *loaded; /* the records read so far; NULL once the leader is ready */
};

struct ow_failover *ow_failover_new(void)
{
    struct ow_failover *failover = g_new0(struct ow_failover, 1);
    failover->loaded = ow_loaded_records_new();
    return failover;
}

void ow_failover_free(struct ow_failover *failover)
{
    ow_loaded_records_free(failover->loaded);
    g_free(failover->last_key_read);
    g_free(failover);
}

static void retry_later(struct ow_leader *leader)
{
    leader->failover->next_at = leader->core->now + RETRY_S;
}

/* Adds the machines that the previous leader announced, so that commands can be sent to them before the
   cloud's list arrives. */
static void use_machine_hints(struct ow_leader *leader)
{
    const GArray *hints = ow_machine_hints_list(leader->core->machine_hints);
    for (guint i = 0; i < hints->len; i++) {
        const struct ow_peer_machine *hint = &g_array_index(hints, struct ow_peer_machine, i);
        struct ow_machine *machine = ow_machines_find_or_add(leader, hint->name);
        ow_machine_describe(leader, machine, hint->addr, hint->type, hint->zone, hint->spot);
        machine->listed = OW_LISTED_RUNNING;
    }
}

static void become_ready(struct ow_leader *leader)
{
    ow_loaded_records_restore(leader->failover->loaded, leader);
    g_clear_pointer(&leader->failover->loaded, ow_loaded_records_free);
    leader->phase = OW_LEADER_READY;
    leader->ready_at = leader->core->now;
    ow_leader_request_cycle(leader);
    use_machine_hints(leader);
    /* Fencing: a worker that has seen this leader's fencing token rejects commands of earlier leaders. */
    ow_command_queue_add_all(leader);
    g_info("failover complete: fencing_token=%" PRIu64 " jobs=%u machines=%u", leader->fencing_token,
           leader->executions->len, leader->machines->len);
}

static void on_progress_page(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    struct ow_failover *failover = leader->failover;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    failover->is_reading = false;
    if (reply->status != OW_HTTP_STATUS_OK) {
        retry_later(leader);
        return;
    }
    for (guint i = 0; i < reply->items->len; i++)
        ow_loaded_records_add_value(failover->loaded, leader,
                                    &g_array_index(reply->items, struct ow_store_item, i));
    if (!reply->has_more || reply->items->len == 0) {
        become_ready(leader);
        return;
    }
    const struct ow_store_item *last =
        &g_array_index(reply->items, struct ow_store_item, reply->items->len - 1);
    g_free(failover->last_key_read);
    failover->last_key_read = g_strdup(last->key);
}

static void read_progress_page(struct ow_leader *leader)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_LIST, OW_KEY_PROGRESS);
    request->start_after_key = g_strdup(leader->failover->last_key_read);
    leader->failover->is_reading = true;
    ow_core_call_store(leader->core, request, on_progress_page, leader, NULL, NULL);
}

/* `data` is the fencing token of the leader that requested the refresh; its term may have ended since. */
static void on_jobs_refreshed(struct ow_core *core, void *data, enum ow_refresh_result result)
{
    struct ow_leader *leader = core->leader;
    const uint64_t *fencing_token = data;
    if (leader == NULL || leader->fencing_token != *fencing_token)
        return;
    leader->failover->is_reading = false;
    if (result != OW_REFRESH_DONE) {
        retry_later(leader);
        return;
    }
    leader->phase = OW_LEADER_LOADING;
}

/* The copy of the job table must be current first: a progress record whose job is not in it would be treated
   as the record of a job that is over, and removed. */
static void refresh_jobs(struct ow_leader *leader)
{
    uint64_t *fencing_token = g_memdup2(&leader->fencing_token, sizeof leader->fencing_token);
    leader->failover->is_reading = true;
    ow_job_cache_refresh(leader->core->job_cache, on_jobs_refreshed, fencing_token);
}

void ow_failover_tick(struct ow_leader *leader)
{
    const struct ow_failover *failover = leader->failover;
    if (leader->phase == OW_LEADER_READY || failover->is_reading || leader->core->now < failover->next_at)
        return;
    /* The format decides how jobs are divided into chunks, so it must be known first. */
    bool is_format_known = ow_record_format_is_known(leader->record_format);
    if (leader->phase == OW_LEADER_REFRESHING)
        refresh_jobs(leader);
    else if (is_format_known)
        read_progress_page(leader);
}
