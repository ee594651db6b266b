/* The scheduling cycle: what is started or held for each waiting run, and the completion of jobs. */
#include "core/scheduling/schedule.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/records/recorder.h"
#include "core/run.h"
#include "core/scheduling/array_preemption.h"
#include "core/scheduling/array_start.h"
#include "core/scheduling/gpu_reserve.h"
#include "core/scheduling/image_demand.h"
#include "core/scheduling/queue.h"
#include "core/scheduling/reason.h"
#include "core/scheduling/reservation.h"
#include "core/scheduling/service_replicas.h"
#include "core/scheduling/shortlist.h"
#include "core/teams.h"

/* The last record of the job was carried out although the answer was lost. */
static void close_done_job(struct ow_leader *leader, struct ow_run *run)
{
    struct ow_job *job = run->job;
    ow_run_stop(leader, run, 0, "its job is done");
    /* What may still be on a machine counts until it is gone. */
    if (run->attempts->len > 0)
        return;
    ow_run_drop(leader, run);
    ow_jobs_close(leader->core->jobs, job);
}

/* Creates the job's run if it has none, and ends what is over. */
static void update_job(struct ow_leader *leader, struct ow_job *job)
{
    struct ow_run *run = ow_run_find_or_add(leader, job);
    if (job->state == OW_JOB_DONE) {
        close_done_job(leader, run);
        return;
    }
    if (job->state == OW_JOB_CANCELLED)
        ow_run_stop(leader, run, 0, "its job is cancelled");
    if (run->attempts->len > 0)
        return;
    if (job->state == OW_JOB_CANCELLED || run->done == run->count)
        ow_recorder_finish(leader, run);
}

/* Takes a job that needs GPUs into what the cycle knows of GPU jobs. */
static void observe_gpu_need(struct ow_leader *leader, const struct ow_submission *submission)
{
    const struct ow_amounts *need = &submission->need;
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

/* Which teams may claim their guarantee and which have to give back, for the whole pass. */
static void update_teams(struct ow_leader *leader)
{
    int count = ow_names_count(leader->core->names.teams);
    leader->teams.demand_guaranteed = g_renew(bool, leader->teams.demand_guaranteed, count);
    leader->teams.is_borrowing = g_renew(bool, leader->teams.is_borrowing, count);
    for (int team = 0; team < count; team++) {
        leader->teams.demand_guaranteed[team] = ow_team_demand_is_guaranteed(leader, team);
        leader->teams.is_borrowing[team] = ow_team_is_borrowing(leader, team);
    }
}

static void clear_held(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        machine->held = (struct ow_amounts){0};
        machine->held_for_gangs = (struct ow_amounts){0};
    }
}

/* Gangs take nothing from those of a more urgent rank before them in the queue. */
static void harden_held(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        ow_amounts_add(&machine->held, &machine->held_for_gangs, 1);
        machine->held_for_gangs = (struct ow_amounts){0};
    }
}

static void begin_cycle(struct ow_leader *leader)
{
    update_teams(leader);
    ow_gpu_reserve_update(leader);
    ow_image_demand_update(leader);
    clear_held(leader);
    ow_shortlists_begin(leader);
    g_array_set_size(leader->cycle.allowances, 0);
    leader->cycle.turn_taken = false;
}

/* Starts what can be started of the run, and holds or makes capacity for the rest. */
static void schedule_run(struct ow_leader *leader, struct ow_run *run)
{
    if (run->job->spec->submission->gang) {
        ow_reservation_try(leader, run);
        ow_reservation_apply_holds(leader, run);
        return;
    }
    if (ow_run_is_service(run))
        ow_service_replicas_start(leader, run);
    else
        ow_array_start(leader, run);
    if (ow_run_pending(run) > 0)
        ow_array_preempt(leader, run);
}

/* Runs that are paused have no place in the queue, but their teams ask why they wait. */
static void explain_paused_runs(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->runs->len; i++) {
        struct ow_run *run = g_ptr_array_index(leader->runs, i);
        if (run->ready_at > leader->core->now)
            ow_reason_waits(leader, run);
    }
}

void ow_schedule_cycle(struct ow_leader *leader)
{
    begin_cycle(leader);
    GPtrArray *runs = ow_queue_sorted(leader);
    const struct ow_run *previous = NULL; /* the last run that was not promoted */
    for (guint i = 0; i < runs->len; i++) {
        struct ow_run *run = g_ptr_array_index(runs, i);
        if (!ow_queue_is_promoted(run)) {
            if (previous != NULL && ow_queue_rank(run) != ow_queue_rank(previous))
                harden_held(leader);
            previous = run;
        }
        schedule_run(leader, run);
        ow_reason_waits(leader, run);
    }
    g_ptr_array_free(runs, TRUE);
    explain_paused_runs(leader);
}
