/* What the leader's parts share. Each struct has one owner file, named at it; others read. */
#ifndef OW_CORE_LEADER_STATE_H
#define OW_CORE_LEADER_STATE_H

#include "core/classes.h"
#include "core/leader.h"
#include "core/controller.h"
#include "core/records.h"

struct ow_recorder;

/* ---- attempts and runs: run.c ---- */

enum ow_attempt_state {
    OW_ATTEMPT_PLANNED,   /* its record is not committed: no launch may leave */
    OW_ATTEMPT_COMMITTED, /* recorded; no launch has left */
    OW_ATTEMPT_SENT,      /* a launch may be on its way or carried out */
    OW_ATTEMPT_SEEN,      /* the worker reports it */
    OW_ATTEMPT_INHERITED, /* recorded by an earlier leader; not accounted for yet */
};

struct ow_attempt {
    struct ow_job *job;
    uint32_t task;
    uint64_t number;
    struct ow_machine *machine;
    uint64_t session;
    enum ow_attempt_state state;
    enum ow_phase phase;
    uint64_t in_write;            /* serial of the write that carries its record */
    uint32_t report_generation;   /* of the last report that lists it */
    double placed_at, running_at; /* running_at 0: not yet seen running */
    bool not_preemptible;         /* its job starved: it is not stopped again for others */
    bool stop;
    double stop_grace_s, stop_at;
};

struct ow_task {
    bool done;
    uint8_t failures;
    struct ow_attempt *attempt; /* NULL: none may exist */
};

struct ow_chunk {
    struct ow_job *job;
    uint32_t index;
    struct ow_record_value *record_value; /* where its record stands; NULL: nowhere yet */
    uint64_t last_attempt;
    bool dirty, writing;
};

/* ---- records that share a value: record_values.c; what becomes of it: recorder.c ---- */

struct ow_record_value {
    uint32_t number;
    uint64_t version;  /* of its value; 0: none */
    int class_index;   /* of its chunks */
    GPtrArray *chunks; /* struct ow_chunk, of runs */
    bool refines;      /* its only chunk does not fit a value and is to be divided */
    GArray *retained;  /* struct ow_retained_tasks: its value says something that must first be recorded
                          elsewhere */
    size_t bytes;      /* of its value as last written, and an estimate of what came since */
    struct ow_write *queued;
    struct ow_record_value
        *after; /* chunks moved there: it must be written first, or they would be nowhere */
};

/* Tasks of a run that a value records in chunks of another size than the run has now. */
struct ow_retained_tasks {
    struct ow_job *job;
    uint32_t first, end;
};

struct ow_run {
    struct ow_job *job;
    struct ow_task *tasks;
    uint32_t count, done, running;
    GPtrArray *attempts; /* that may exist */
    struct ow_chunk *chunks;
    uint32_t chunk_count;
    uint32_t chunk_tasks;     /* of each chunk but the last */
    uint32_t cursor;          /* no pending task below it */
    bool finishing;           /* its last record is queued or under way */
    bool aged;                /* it is old, begun or not; of the pass at hand */
    bool starves;             /* it has waited too long for anything to start; of the pass at hand */
    double ready_at;          /* not to be started before */
    double missing_since;     /* a task of it waits since then; 0: none does */
    double part_at;           /* service_replicas.c: when its replicas are next looked at */
    unsigned failures;        /* in a row, on several machines */
    double bad_until;         /* bad_machines count no longer */
    GHashTable *bad_machines; /* machines where a task of it failed -> nothing */
    struct ow_reservation *reservation; /* of a waiting gang; owned by reservation.c */
    double accepted_at;                 /* when this controller first saw the job, also before it led */
};

/* ---- machines: machine_registry.c ---- */

struct ow_image_copy {
    int image;
    double gb, used_at;
    bool present; /* else being fetched */
    double ready_at;
};

struct ow_unacknowledged_launch {
    const struct ow_job *job;
    uint32_t task;
    uint64_t number;
};

struct ow_machine {
    char *name, *addr;
    int type, zone; /* OW_NO_NAME: not known yet */
    bool spot;
    enum ow_listed listed;
    double rented_at;
    double met_at;           /* when this leader first heard of it */
    double last_message_at;  /* the newest message from it came then; 0: none has */
    double last_report_at;   /* the same of its reports alone: what it answers to commands renews no lease */
    double unanswered_since; /* our commands find no answer since then; 0: it answers */
    uint64_t session, seq;
    uint64_t dead_session; /* every session up to it is proven over */
    bool fenced;           /* it has shown our token: older leaders command it no more */
    double fenced_at;
    double reclaimed_at; /* when the cloud takes it, after a notice; 0: none */
    GPtrArray *attempts;
    struct ow_amounts used;                     /* by attempts that may exist */
    struct ow_amounts used_by[OW_RANK_LOW + 1]; /* the same by rank */
    struct ow_amounts stopping;                 /* of it, by attempts that are being stopped */
    struct ow_amounts unknown_tasks_use;        /* by tasks that it reports and we don't know */
    uint32_t report_generation;
    bool direct_busy, direct_wanted;
    double direct_at;        /* not before */
    GArray *direct_launches; /* struct ow_unacknowledged_launch: launches of the direct command under way */
    GArray *unacknowledged_launches; /* struct ow_unacknowledged_launch: launches of direct commands without
                                        an answer */
    GArray *images;                  /* struct ow_image_copy */
    unsigned errors;                 /* jobs that failed on it since the last task that went well */
    const struct ow_job *failed_job; /* the last of them */
    unsigned quarantines;
    double quarantine_until;
    double suspect_until; /* it has failed a job, and it is not known yet whose fault that was */
    bool gpus_kept;       /* waiting work needs its GPUs: not for work without need of them */
    double slowness;      /* run time against the estimate's, as seen; 1: as expected */
    double idle_since;
    bool deleting;
    double delete_at;       /* the next try */
    struct ow_amounts held; /* scratch of the scheduling pass: kept from everybody behind in the queue */
    struct ow_amounts held_for_gangs; /* the same, but gangs that can start at once may take it */
    unsigned holders;                 /* gangs that hold room on it; counted by reservation.c */
};

/* ---- holds: reservation.c ---- */

struct ow_hold {
    struct ow_machine *machine;
    uint32_t member;
    bool picked; /* what the gang would start on, if there were enough of it; else a further candidate */
    double made_at;
};

struct ow_reservation {
    double opened_at; /* the window */
    bool closed;
    double short_since; /* since the window closed without a candidate for each member */
    bool stops;         /* work is being stopped to make the room that is held */
    double stops_at;    /* when that was weighed last */
    bool given_up;      /* waited past the limit: the holds are dropped, the place is kept */
    double again_at;
    GArray *holds; /* struct ow_hold */
};

/* ---- the leader: leader.c ---- */

struct ow_rental_refusal {
    int type, zone;
    bool spot;
    double until;
};

struct ow_leader {
    struct ow_controller *controller;
    uint64_t token;
    enum { OW_LEADER_REFRESH, OW_LEADER_LOADING, OW_LEADER_READY } phase;
    bool load_busy;
    double load_at;
    char *load_after;
    GArray *loaded;  /* takeover.c: records read so far */
    unsigned format; /* that may be written; 0: not known yet */
    bool format_busy;
    double format_at;
    double ready_at; /* when it became ready */

    GHashTable *machines_by_name;
    GPtrArray *machines;
    uint32_t report_generation;

    GPtrArray *runs;
    struct ow_amounts *team_used; /* by team index of the settings' order, grown as names come */
    guint team_count;
    bool *entitled, *borrows; /* by team index, of the pass at hand */

    struct ow_recorder *recorder;
    GPtrArray *record_values; /* struct ow_record_value */
    GArray *image_loads;      /* by image; placement.c's, of the pass at hand */
    GArray *shortlists;       /* by class; shortlist.c's, of the pass at hand */
    GArray *allowances;       /* reason.c's, of the pass at hand */
    bool dirty;               /* a scheduling pass is due */
    double pass_at;

    struct ow_rate_limiter cloud_limiter;
    double list_at, types_at, rent_at, summary_at, hints_at, health_check_at;
    bool listing, listed_once, types_busy;
    char *list_after;
    unsigned rentals;
    unsigned renting;          /* calls under way */
    GPtrArray *to_delete;      /* names of machines whose deletion is to be sent */
    GHashTable *deleted_names; /* names of machines deleted, which lagging lists still show */
    GArray *refusals;          /* struct ow_rental_refusal */
    int gpu_rank;              /* the most urgent rank among open jobs that need GPUs */
    double gpu_cpus;           /* CPUs that a GPU needs to be of use, by the jobs that are open */
};

static inline const struct ow_machine_type *ow_machine_spec(const struct ow_leader *leader,
                                                            const struct ow_machine *m)
{
    return m->type >= 0 && m->type < OW_MAX_TYPES ? leader->controller->types[m->type] : NULL;
}

/* A service's replicas are never done: one that ends, for whatever cause, runs again. */
static inline bool ow_run_is_service(const struct ow_run *run)
{
    return run->job->spec->submission->kind == OW_KIND_SERVICE;
}

static inline struct ow_chunk *ow_run_chunk(const struct ow_run *run, uint32_t task)
{
    return &run->chunks[task / run->chunk_tasks];
}

/* run.c */
/* Divides its tasks anew; no chunk of it may be in a record value or a write. */
void ow_run_divide(struct ow_run *run, uint32_t chunk_tasks);
struct ow_run *ow_run_find_or_add(struct ow_leader *leader, struct ow_job *job);
void ow_run_drop(struct ow_leader *leader, struct ow_run *run);
struct ow_attempt *ow_attempt_new(struct ow_leader *leader, struct ow_run *run, uint32_t task,
                                  uint64_t number, struct ow_machine *machine, uint64_t session);
/* Proof is there that the attempt is gone, or no launch of it ever left. */
void ow_attempt_end(struct ow_leader *leader, struct ow_attempt *attempt, enum ow_cause cause,
                    const char *proof);
/* Takes back what an outdated record said. */
void ow_attempt_unload(struct ow_leader *leader, struct ow_attempt *attempt);
void ow_attempt_stop(struct ow_leader *leader, struct ow_attempt *attempt, double grace_s, const char *why);
/* Stops all attempts of a run in one round. */
void ow_run_stop(struct ow_leader *leader, struct ow_run *run, double grace_s, const char *why);
uint32_t ow_run_pending(const struct ow_run *run);
/* NULL: no such team in the settings. */
const struct ow_team_settings *ow_team_settings_of(const struct ow_leader *leader, int team);
struct ow_amounts *ow_team_used(struct ow_leader *leader, int team);
/* Whether the amounts lie within what the team is guaranteed. A resource of which it is guaranteed none is
   left out; one that is guaranteed must be among them. */
bool ow_team_guarantees(const struct ow_leader *leader, int team, const struct ow_amounts *amounts);
/* Whether such tasks need anything of which the team is guaranteed some: only then guarantees concern them.
 */
bool ow_team_covers(const struct ow_leader *leader, int team, const struct ow_amounts *need);
/* Whether all unfinished jobs of the team together fit within its guarantee: they need not wait for others.
 */
bool ow_team_entitled(const struct ow_leader *leader, int team);
/* Whether what it runs is beyond its own guarantee, and has to be given back to those entitled. */
bool ow_team_borrows(struct ow_leader *leader, int team);
/* Whether the run's team is entitled and has waited long enough for others to be stopped for it. */
bool ow_run_claims(const struct ow_leader *leader, const struct ow_run *run);
/* How many more tasks of a job its team's limit admits. */
uint32_t ow_team_admits(struct ow_leader *leader, const struct ow_spec *spec, uint32_t wanted);

/* machine_registry.c */
struct ow_machine *ow_machines_find(const struct ow_leader *leader, const char *name);
struct ow_machine *ow_machines_find_or_add(struct ow_leader *leader, const char *name);
void ow_machine_describe(struct ow_leader *leader, struct ow_machine *m, const char *addr, const char *type,
                         const char *zone, bool spot);
/* The machine is gone for good: every attempt on it is, too. */
void ow_machines_remove(struct ow_leader *leader, struct ow_machine *m, const char *proof);
/* Whether a message of it came within the time of a report or two. */
bool ow_machine_heard_recently(const struct ow_leader *leader, const struct ow_machine *m);
/* Whether it has not reported for longer than a report or two may take, whatever it answers to commands. */
bool ow_machine_stopped_reporting(const struct ow_leader *leader, const struct ow_machine *m);
/* Whether new tasks may be put on it now. */
bool ow_machine_is_usable(const struct ow_leader *leader, const struct ow_machine *m);
bool ow_machine_has_unacknowledged_launch(const struct ow_machine *m, const struct ow_job *job, uint32_t task,
                                          uint64_t number);
struct ow_image_copy *ow_machine_image(const struct ow_machine *m, int image);
void ow_machine_image_use(struct ow_leader *leader, struct ow_machine *m, const struct ow_spec *spec,
                          bool present);
/* Seconds until a task with this image could run there. */
double ow_machine_fetch_seconds(const struct ow_leader *leader, const struct ow_machine *m,
                                const struct ow_spec *spec);
void ow_machine_free(void *machine);

/* worker_commands.c: commands to workers */
GArray *ow_worker_commands_for(struct ow_leader *leader, struct ow_machine *m, GArray *starts);
void ow_worker_commands_send(struct ow_leader *leader);

/* reason.c: why a job waits */
GArray *ow_reason_new_allowances(void);

/* reports.c */
/* The machine that reports, or NULL if it is gone and this is a late copy. */
struct ow_machine *ow_reports_receive(struct ow_leader *leader, const struct ow_report *report,
                                      GArray *clears);

/* Stops for whatever it lists of cancelled jobs, known to us as attempts or not. */
GArray *ow_reports_cancelled(const struct ow_leader *leader, const struct ow_report *report);

/* recorder.c */
struct ow_recorder *ow_recorder_new(struct ow_leader *leader);
void ow_recorder_free(struct ow_recorder *recorder);
void ow_recorder_chunk(struct ow_leader *leader, struct ow_run *run, uint32_t task, bool launching);
/* Writes how the job ended; behind that its progress means nothing. */
void ow_recorder_finish(struct ow_leader *leader, struct ow_run *run);
/* Writes a record value again at leisure: it holds what is over. */
void ow_recorder_compact(struct ow_leader *leader, struct ow_record_value *record_value);
void ow_recorder_tick(struct ow_leader *leader);
void ow_recorder_forget(struct ow_leader *leader, const struct ow_run *run);

/* record_values.c */
struct ow_record_value *ow_record_values_find(const struct ow_leader *leader, uint32_t number);
struct ow_record_value *ow_record_values_find_or_add(struct ow_leader *leader, uint32_t number);
/* The value goes on saying what it says of these tasks, until all of them are recorded elsewhere. */
void ow_record_values_retain(struct ow_record_value *record_value, struct ow_job *job, uint32_t first,
                             uint32_t end);
/* Whether the value must stay as it is for now. */
bool ow_record_values_retains_tasks(struct ow_record_value *record_value);
/* Records the run in smaller chunks from now on. Nothing of it may be in a write. */
void ow_record_values_refine(struct ow_leader *leader, struct ow_run *run);
void ow_record_values_add(struct ow_record_value *record_value, struct ow_chunk *chunk);
void ow_record_values_join(struct ow_leader *leader, struct ow_chunk *chunk);
/* The record value that it has left, or NULL. */
struct ow_record_value *ow_record_values_leave(struct ow_chunk *chunk);
/* The record value's value. What does not fit moves to another record value, which must be written first. */
char *ow_record_values_encode(struct ow_leader *leader, struct ow_record_value *record_value,
                              struct ow_record_value **moved);
/* The tasks of a chunk that is made now. */
uint32_t ow_record_values_chunk_tasks(const struct ow_leader *leader);
void ow_record_value_free(void *record_value);

/* record_format.c: which format of records may be written */
void ow_record_format_tick(struct ow_leader *leader);

/* takeover.c */
void ow_takeover_free(struct ow_leader *leader);
void ow_takeover_tick(struct ow_leader *leader);

/* schedule.c */
void ow_schedule_pass(struct ow_leader *leader);
void ow_schedule_jobs(struct ow_leader *leader);
/* The runs with waiting tasks in queue order: struct ow_run *. */
GPtrArray *ow_schedule_queue(struct ow_leader *leader);

/* shortlist.c */
GArray *ow_shortlists_new(void);
void ow_shortlists_begin(struct ow_leader *leader);
/* struct ow_machine *: those that may have room for a job of the class in the pass at hand. */
const GPtrArray *ow_shortlist(struct ow_leader *leader, int class_index);
/* The same with work stopped for it. */
const GPtrArray *ow_shortlist_with_preemption(struct ow_leader *leader, int class_index);

/* placement.c */
struct ow_candidate {
    struct ow_machine *machine;
    uint32_t slots;
    double cost;
    bool conflicted;
};
bool ow_placement_is_allowed(const struct ow_leader *leader, const struct ow_spec *spec,
                             const struct ow_machine *m);
/* Tasks that fit an empty machine of the type. */
uint32_t ow_placement_slots_on_empty(const struct ow_machine_type *type, const struct ow_amounts *need);
/* Whether tasks of the run may be put there now, room aside. */
bool ow_placement_is_permitted(const struct ow_leader *leader, const struct ow_run *run,
                               const struct ow_machine *m);
uint32_t ow_placement_slots(const struct ow_leader *leader, const struct ow_spec *spec,
                            const struct ow_machine *m);
/* The same as it would be with so much of the machine used. */
uint32_t ow_placement_slots_beside(const struct ow_leader *leader, const struct ow_spec *spec,
                                   const struct ow_machine *m, const struct ow_amounts *used);
/* Whether the run's work is to wait for cheap machines for now. */
bool ow_placement_waits_for_cheap(const struct ow_leader *leader, const struct ow_run *run);
double ow_placement_cost(const struct ow_leader *leader, const struct ow_run *run,
                         const struct ow_machine *m);
/* Every machine with room for the job, cheapest first: struct ow_candidate each. */
GArray *ow_placement_candidates(struct ow_leader *leader, const struct ow_run *run);
/* Zones: how many more tasks the job's own rules admit in this zone, given what may exist. */
uint32_t ow_placement_zone_admits(const struct ow_run *run, int zone);
GArray *ow_placement_new_loads(void);
void ow_placement_weigh_images(struct ow_leader *leader);
void ow_placement_start_array(struct ow_leader *leader, struct ow_run *run);
/* The zone where tasks that must stay together fit best. */
int ow_placement_best_zone(const struct ow_run *run, const GArray *candidates);
/* service_replicas.c: services */
void ow_service_replicas_start(struct ow_leader *leader, struct ow_run *run);
/* Moves replicas off machines that are about to go. */
void ow_service_replicas_relocate(struct ow_leader *leader);
void ow_placement_start_task(struct ow_leader *leader, struct ow_run *run, uint32_t task, uint64_t number,
                             struct ow_machine *m);
uint32_t ow_placement_next_pending(struct ow_run *run);
/* The number of the next attempt of any task. */
uint64_t ow_run_next_attempt(const struct ow_run *run);

/* reservation.c */
void ow_reservation_try(struct ow_leader *leader, struct ow_run *run);
/* Whether the machine is held for another waiting gang. */
bool ow_reservation_conflicts(const struct ow_run *run, const struct ow_machine *m);
/* Drops what is held on a machine that is gone. */
void ow_reservation_forget(struct ow_reservation *reservation, const struct ow_machine *m);
void ow_reservation_free(struct ow_reservation *reservation);
/* Books the standing holds of a run against the machines, for jobs behind it in line. */
void ow_reservation_apply_holds(const struct ow_run *run);

/* preempt.c */
/* Slots for the job on a machine if all work that may be stopped for it went. */
/* The most urgent rank whose work may be stopped for the job. */
int ow_preempt_top_rank(const struct ow_leader *leader, const struct ow_spec *spec);
/* No fewer slots than stopping work of that rank and less urgent ranks could make, without a look at each
   attempt. */
uint32_t ow_preempt_slots_upper_bound(const struct ow_leader *leader, const struct ow_spec *spec,
                                      const struct ow_machine *m, int from);
uint32_t ow_preempt_slots(const struct ow_leader *leader, const struct ow_spec *spec,
                          const struct ow_machine *m);
/* Stops the cheapest work there that makes room for `slots` tasks; false if none can. */
bool ow_preempt_make_room(struct ow_leader *leader, const struct ow_run *run, struct ow_machine *m,
                          uint32_t slots);
double ow_preempt_loss(const struct ow_leader *leader, const struct ow_spec *spec, const struct ow_machine *m,
                       uint32_t slots);

/* rent.c */
void ow_rent_tick(struct ow_leader *leader);

/* fleet.c */
/* The machine is to be returned; the call goes out with all others of the same round. */
void ow_fleet_delete(struct ow_leader *leader, struct ow_machine *m, const char *why);
void ow_fleet_send_deletions(struct ow_leader *leader);

/* machine_health.c: silent, sick and noticed machines; proofs by time */
void ow_machine_health_tick(struct ow_leader *leader);
/* The run keeps off the machine for a while. */
void ow_machine_health_avoid(struct ow_leader *leader, struct ow_machine *m, struct ow_run *run);
void ow_machine_health_error(struct ow_leader *leader, struct ow_machine *m, struct ow_run *run);

/* reason.c */
void ow_reason_waits(struct ow_leader *leader, struct ow_run *run);

#endif
