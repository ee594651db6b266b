/* Random overlapping failures of a simulated cluster, from a fixed seed. */
#include "chaos_day.h"

#include "check.h"

#include <string.h>

enum { MACHINES = 6, JOBS = 14 };

/* The state of one random run. */
struct failures {
    struct world *w;
    GRand *rand;
    bool cancelled[JOBS];
    GPtrArray *copies; /* struct ow_heartbeat, to be sent late */
};

static struct world_machine *any_machine(struct failures *failures)
{
    return g_ptr_array_index(failures->w->machines,
                             (guint)g_rand_int_range(failures->rand, 0, (gint32)failures->w->machines->len));
}

/* Keeps a duplicate of the machine's last heartbeat, to be sent later to any controller. */
static void keep_copy(struct failures *failures, const struct world_machine *machine)
{
    g_ptr_array_add(failures->copies, world_last_heartbeat(machine));
}

static void send_copies(struct failures *failures)
{
    while (failures->copies->len > 0) {
        int controller = g_rand_int_range(failures->rand, 0, WORLD_CONTROLLERS);
        world_send_copy(failures->w, controller, g_ptr_array_index(failures->copies, 0));
        g_ptr_array_steal_index(failures->copies, 0);
    }
}

static void disturb_machine(struct failures *failures)
{
    struct world_machine *machine = any_machine(failures);
    switch (g_rand_int_range(failures->rand, 0, 9)) {
    case 7:
        machine->stopped_reporting = !machine->stopped_reporting;
        break;
    case 8:
        machine->only_controller =
            machine->only_controller < 0 ? g_rand_int_range(failures->rand, 0, WORLD_CONTROLLERS) : -1;
        break;
    case 4:
        machine->unresponsive = !machine->unresponsive;
        break;
    case 5:
        keep_copy(failures, machine);
        break;
    case 6:
        send_copies(failures);
        break;
    case 0:
        machine->cut = !machine->cut;
        break;
    case 1:
        machine->hangs = !machine->hangs;
        break;
    case 2:
        machine->faulty = !machine->faulty;
        break;
    default:
        world_delete_machine(machine);
        break;
    }
}

/* Its process stands still, for shorter or longer than its lease, or goes on. */
static void freeze_or_thaw(struct failures *failures)
{
    int controller = g_rand_int_range(failures->rand, 0, WORLD_CONTROLLERS);
    if (failures->w->frozen[controller])
        world_thaw(failures->w, controller);
    else if (failures->w->controllers[controller] != NULL)
        world_freeze(failures->w, controller);
}

static void disturb_controller(struct failures *failures)
{
    int controller = g_rand_int_range(failures->rand, 0, WORLD_CONTROLLERS);
    int other = (controller + 1) % WORLD_CONTROLLERS;
    /* Links break with and without their process. */
    if (g_rand_boolean(failures->rand) && failures->w->controllers[other] != NULL)
        world_lose_link(failures->w, other, controller);
    if (g_rand_int_range(failures->rand, 0, 4) == 0)
        return;
    if (failures->w->controllers[controller] != NULL)
        world_kill_controller(failures->w, controller);
    else
        world_start_controller(failures->w, controller);
    /* Some restart at once. */
    if (failures->w->controllers[controller] == NULL && g_rand_int_range(failures->rand, 0, 3) == 0)
        world_start_controller(failures->w, controller);
}

static void disturb_service(struct failures *failures)
{
    switch (g_rand_int_range(failures->rand, 0, 10)) {
    case 7:
        failures->w->denied_controller = g_rand_int_range(failures->rand, -1, WORLD_CONTROLLERS);
        break;
    case 8:
        failures->w->peers_cut = !failures->w->peers_cut;
        break;
    case 9:
        failures->w->store_slow_s =
            failures->w->store_slow_s > 0 ? 0 : g_rand_double_range(failures->rand, 0.1, 1.2);
        break;
    case 5:
        failures->w->isolated_controller = g_rand_int_range(failures->rand, -1, WORLD_CONTROLLERS);
        break;
    case 6:
        failures->w->workerless_controller = g_rand_int_range(failures->rand, -1, WORLD_CONTROLLERS);
        break;
    case 0:
        failures->w->store_down = !failures->w->store_down;
        break;
    case 1:
        failures->w->cloud_down = !failures->w->cloud_down;
        break;
    case 2:
        failures->w->hold_txns = !failures->w->hold_txns;
        break;
    case 3:
        failures->w->lose_txn_answers = !failures->w->lose_txn_answers;
        break;
    default:
        failures->w->hold_directs = !failures->w->hold_directs;
        break;
    }
}

static void disturb(struct failures *failures)
{
    bool divided = failures->w->sharding != NULL;
    if (divided && g_rand_int_range(failures->rand, 0, 4) == 0) {
        freeze_or_thaw(failures);
        return;
    }
    int kind = g_rand_int_range(failures->rand, 0, 10);
    if (kind < 4)
        disturb_machine(failures);
    else if (kind < 7)
        disturb_controller(failures);
    else
        disturb_service(failures);
}

static void end_failures(struct failures *failures)
{
    struct world *w = failures->w;
    w->isolated_controller = w->workerless_controller = w->denied_controller = -1;
    w->peers_cut = false;
    w->store_slow_s = 0;
    w->store_down = w->cloud_down = w->hold_txns = w->lose_txn_answers = w->hold_directs = false;
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *machine = world_machine_at(w, i);
        machine->cut = machine->hangs = machine->faulty = machine->unresponsive = machine->stopped_reporting =
            false;
        machine->only_controller = -1;
    }
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        world_thaw(w, i);
    world_start_controllers(w);
}

static void job_id(char *id, size_t size, int i)
{
    g_snprintf(id, size, "run-%d", i + 1);
}

/* Users retry until their submission is accepted. */
static void submit_until_accepted(struct failures *failures, int i)
{
    struct world *w = failures->w;
    char id[16];
    job_id(id, sizeof id, i);
    for (int attempt = 0; attempt < 200; attempt++) {
        struct ow_submission *submission = world_job(id, 1 + (uint32_t)i % 4, 2);
        submission->rank = (enum ow_rank)(i % 4);
        submission->gang = i % 3 == 0;
        submission->kind = submission->gang ? OW_KIND_GANG : OW_KIND_ARRAY;
        submission->one_zone = i % 2 == 0;
        uint64_t request = world_submit(w, attempt % WORLD_CONTROLLERS, submission);
        world_run(w, 1);
        const struct world_answer *answer = world_answer(w, request);
        if (answer != NULL && (answer->status == 200 || answer->status == 201))
            return;
        if (g_rand_int_range(failures->rand, 0, 4) == 0)
            disturb(failures);
        if (attempt > 60)
            end_failures(failures);
    }
    fail_msg("%s was never accepted", id);
}

static void cancel_some(struct failures *failures)
{
    int i = g_rand_int_range(failures->rand, 0, JOBS);
    char id[16];
    job_id(id, sizeof id, i);
    failures->cancelled[i] = true;
    world_cancel(failures->w, g_rand_int_range(failures->rand, 0, WORLD_CONTROLLERS), id);
}

static void free_heartbeat(void *heartbeat)
{
    ow_heartbeat_free(heartbeat);
}

/* Once the failures are over, every poll is answered. */
static void poll_all(struct failures *failures)
{
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        job_id(id, sizeof id, i);
        if (world_job_state(failures->w, id) < 0)
            fail_msg("no controller knows %s", id);
    }
}

/* Once the failures are over, no job waits for 90 s while a machine has room for it. */
static void watch_waiting(struct failures *failures, guint32 seed, int seconds)
{
    int waited[JOBS] = {0};
    for (int s = 0; s < seconds; s++) {
        world_run(failures->w, 1);
        for (int i = 0; i < JOBS; i++) {
            char id[16];
            job_id(id, sizeof id, i);
            const struct world_requirements *requirements =
                g_hash_table_lookup(failures->w->requirements, id);
            bool waits = !failures->cancelled[i] && !world_all_done(failures->w, id) &&
                         world_running(failures->w, id) == 0 && world_has_room_for(failures->w, requirements);
            waited[i] = waits ? waited[i] + 1 : 0;
            if (waited[i] >= 90)
                fail_msg("seed %u: %s waits although a machine has room", seed, id);
        }
    }
}

static void add_machines(struct world *w)
{
    for (int i = 0; i < MACHINES; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        world_add_machine(w, name, "big", i % 2 == 0 ? "east" : "west", i % 3 == 0);
    }
}

static struct world *start_world(guint32 seed, bool divided, const struct world_observer *observer)
{
    struct world *w = world_new();
    if (observer != NULL)
        w->observer = *observer;
    w->capacity = 40;
    if (divided)
        world_divide(w);
    /* With every other seed the records need many values. */
    for (int i = 0; i < WORLD_CONTROLLERS && seed % 2 == 0; i++)
        w->settings[i].value_kb = w->value_kb = 0.5;
    world_start_controllers(w);
    add_machines(w);
    world_run(w, 5);
    return w;
}

static void play_failures(struct failures *failures)
{
    struct world *w = failures->w;
    for (int i = 0; i < JOBS; i++) {
        submit_until_accepted(failures, i);
        world_run(w, g_rand_double_range(failures->rand, 0, 3));
        disturb(failures);
    }
    for (int i = 0; i < 15; i++) {
        world_run(w, g_rand_double_range(failures->rand, 0, 6));
        disturb(failures);
        if (i % 5 == 0)
            cancel_some(failures);
    }
}

/* Every job has completed or was cancelled, and no safety rule was broken. */
static void check_end(struct failures *failures, guint32 seed)
{
    struct world *w = failures->w;
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        job_id(id, sizeof id, i);
        int state = world_job_state(w, id);
        if (state != OW_JOB_DONE && !(state == OW_JOB_CANCELLED && failures->cancelled[i]))
            fail_msg("seed %u: %s ends as %d", seed, id, state);
    }
    if (w->violations->len > 0 || w->too_large > 0)
        fail_msg("seed %u: %s", seed, w->violations->str);
}

void chaos_day_play(guint32 seed, bool divided, const struct world_observer *observer)
{
    struct failures failures = {.w = start_world(seed, divided, observer),
                                .rand = g_rand_new_with_seed(seed),
                                .copies = g_ptr_array_new_with_free_func(free_heartbeat)};
    play_failures(&failures);
    end_failures(&failures);
    world_run(failures.w, 25);
    poll_all(&failures);
    watch_waiting(&failures, seed, 175);
    check_end(&failures, seed);
    g_ptr_array_free(failures.copies, TRUE);
    g_rand_free(failures.rand);
    world_free(failures.w);
}
