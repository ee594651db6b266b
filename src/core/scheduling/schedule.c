#include "core/scheduling/schedule.h"

#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/scheduling/array_preemption.h"
#include "core/scheduling/array_start.h"
#include "core/scheduling/gang_start.h"
#include "core/scheduling/gpu_reserve.h"
#include "core/scheduling/image_demand.h"
#include "core/scheduling/job_lifecycle.h"
#include "core/scheduling/promotion.h"
#include "core/scheduling/queue.h"
#include "core/scheduling/reason.h"
#include "core/scheduling/service_replicas.h"
#include "core/scheduling/shortlist.h"
#include "model/resources.h"
#include "model/submission.h"

/* Clears the capacity held by the previous cycle: each cycle decides for itself what it holds. */
static void clear_held_capacity(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        machine->cycle.held = (struct ow_resources){0};
        machine->cycle.held_for_gangs = (struct ow_resources){0};
    }
}

/* Called between two ranks: makes the holds of the gangs so far exclusive, so that less urgent gangs can't
   take them either. */
static void make_holds_exclusive(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        ow_resources_add(&machine->cycle.held, &machine->cycle.held_for_gangs, 1);
        machine->cycle.held_for_gangs = (struct ow_resources){0};
    }
}

/* Computes what all executions of the cycle share. */
static void begin_cycle(struct ow_leader *leader)
{
    ow_quota_begin_cycle(leader);
    ow_gpu_reserve_mark_machines(leader);
    ow_image_demand_update(leader);
    clear_held_capacity(leader);
    ow_shortlists_begin_cycle(leader);
    ow_reason_begin_cycle(leader);
    leader->cycle.gang_has_hold_priority = false;
}

/* Starts the pending tasks that can be started, and holds or frees capacity for the others. */
static void schedule_execution(struct ow_leader *leader, struct ow_execution *execution)
{
    if (ow_submission_is_gang(execution->job->spec->submission)) {
        ow_gang_start_try(leader, execution);
        ow_gang_start_subtract_holds(leader, execution);
        return;
    }
    if (ow_execution_is_service(execution))
        ow_service_replicas_start(leader, execution);
    else
        ow_array_start(leader, execution);
    if (ow_execution_count_pending(execution) > 0)
        ow_array_preempt(leader, execution);
}

static void schedule_in_queue_order(struct ow_leader *leader)
{
    g_autoptr(GPtrArray) executions = ow_queue_sorted(leader);
    const struct ow_execution *previous = NULL; /* the last one that was not promoted */
    for (guint i = 0; i < executions->len; i++) {
        struct ow_execution *execution = g_ptr_array_index(executions, i);
        if (!ow_promotion_is_promoted(execution)) {
            if (previous != NULL && ow_promotion_rank(execution) != ow_promotion_rank(previous))
                make_holds_exclusive(leader);
            previous = execution;
        }
        schedule_execution(leader, execution);
        ow_reason_update(leader, execution);
    }
}

/* Paused executions are not in the queue, but their jobs show a waiting reason, too. */
static void explain_paused_executions(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->executions->len; i++) {
        struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (execution->ready_at > leader->core->now)
            ow_reason_update(leader, execution);
    }
}

void ow_schedule_cycle(struct ow_leader *leader)
{
    ow_gpu_reserve_observe_jobs(leader);
    ow_job_lifecycle_update(leader);
    begin_cycle(leader);
    schedule_in_queue_order(leader);
    explain_paused_executions(leader);
}
