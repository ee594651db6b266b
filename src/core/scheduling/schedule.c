/* The scheduling cycle: what is started or held for each waiting run, and the completion of jobs. */
#include "core/scheduling/schedule.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/jobs/execution_table.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/records/recorder.h"
#include "core/scheduling/array_preemption.h"
#include "core/scheduling/array_start.h"
#include "core/scheduling/gang_start.h"
#include "core/scheduling/gpu_reserve.h"
#include "core/scheduling/image_demand.h"
#include "core/scheduling/queue.h"
#include "core/scheduling/reason.h"
#include "core/scheduling/service_replicas.h"
#include "core/scheduling/shortlist.h"
#include "model/resources.h"
#include "model/submission.h"

/* The last record of the job was carried out although the answer was lost. */
static void close_done_job(struct ow_leader *leader, struct ow_execution *execution)
{
    struct ow_job *job = execution->job;
    ow_execution_stop(leader, execution, 0, "its job is done");
    /* What may still be on a machine counts until it is gone. */
    if (execution->attempts->len > 0)
        return;
    ow_execution_drop(leader, execution);
    ow_jobs_close(leader->core->jobs, job);
}

/* Creates the job's run if it has none, and ends what is over. */
static void update_job(struct ow_leader *leader, struct ow_job *job)
{
    struct ow_execution *execution = ow_execution_find_or_add(leader, job);
    if (job->state == OW_JOB_DONE) {
        close_done_job(leader, execution);
        return;
    }
    if (job->state == OW_JOB_CANCELLED)
        ow_execution_stop(leader, execution, 0, "its job is cancelled");
    if (execution->attempts->len > 0)
        return;
    if (job->state == OW_JOB_CANCELLED || execution->done == execution->count)
        ow_recorder_queue_final_record(leader, execution);
}

/* Takes a job that needs GPUs into what the cycle knows of GPU jobs. */
static void observe_gpu_need(struct ow_leader *leader, const struct ow_submission *submission)
{
    const struct ow_resources *need = &submission->need;
    if (need->gpus <= 0)
        return;
    leader->cycle.gpu_cpus = MAX(leader->cycle.gpu_cpus, need->cpus / need->gpus);
    leader->cycle.gpu_rank = MIN(leader->cycle.gpu_rank, (int)submission->rank);
}

void ow_schedule_jobs(struct ow_leader *leader)
{
    const GPtrArray *open_jobs = ow_jobs_open(leader->core->jobs);
    leader->cycle.gpu_cpus = 0;
    leader->cycle.gpu_rank = OW_RANK_LOW;
    /* From the end: a job that is closed leaves the array. */
    for (guint i = open_jobs->len; i > 0; i--) {
        struct ow_job *job = g_ptr_array_index(open_jobs, i - 1);
        observe_gpu_need(leader, job->spec->submission);
        update_job(leader, job);
    }
}

static void clear_held(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        machine->held = (struct ow_resources){0};
        machine->held_for_gangs = (struct ow_resources){0};
    }
}

/* Gangs take nothing from those of a more urgent rank before them in the queue. */
static void make_holds_exclusive(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        ow_resources_add(&machine->held, &machine->held_for_gangs, 1);
        machine->held_for_gangs = (struct ow_resources){0};
    }
}

static void begin_cycle(struct ow_leader *leader)
{
    ow_quota_begin_cycle(leader);
    ow_gpu_reserve_update(leader);
    ow_image_demand_update(leader);
    clear_held(leader);
    ow_shortlists_begin_cycle(leader);
    g_array_set_size(leader->cycle.allowances, 0);
    leader->cycle.gang_has_hold_priority = false;
}

/* Starts what can be started of the run, and holds or makes capacity for the rest. */
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
    if (ow_execution_pending(execution) > 0)
        ow_array_preempt(leader, execution);
}

/* Runs that are paused have no place in the queue, but their teams ask why they wait. */
static void explain_paused_executions(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->executions->len; i++) {
        struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (execution->ready_at > leader->core->now)
            ow_reason_waits(leader, execution);
    }
}

void ow_schedule_cycle(struct ow_leader *leader)
{
    begin_cycle(leader);
    GPtrArray *executions = ow_queue_sorted(leader);
    const struct ow_execution *previous = NULL; /* the last run that was not promoted */
    for (guint i = 0; i < executions->len; i++) {
        struct ow_execution *execution = g_ptr_array_index(executions, i);
        if (!ow_queue_is_promoted(execution)) {
            if (previous != NULL && ow_queue_rank(execution) != ow_queue_rank(previous))
                make_holds_exclusive(leader);
            previous = execution;
        }
        schedule_execution(leader, execution);
        ow_reason_waits(leader, execution);
    }
    g_ptr_array_free(executions, TRUE);
    explain_paused_executions(leader);
}
