/* Random troubles on top of each other, from fixed seeds: no rule may break, and in the end all work is done.
 */
#include "check.h"
#include "world.h"

#include <string.h>

enum { MACHINES = 6, JOBS = 14 };

struct trouble {
    struct world *w;
    GRand *rand;
    double calm_at;
    bool cancelled[JOBS];
    GPtrArray *copies; /* struct ow_report, to be sent late */
};

static struct world_machine *any_machine(struct trouble *t)
{
    return g_ptr_array_index(t->w->machines,
                             (guint)g_rand_int_range(t->rand, 0, (gint32)t->w->machines->len));
}

/* What a machine said is said again later, to whoever leads then or to anybody. */
static void keep_copy(struct trouble *t, const struct world_machine *m)
{
    g_ptr_array_add(t->copies, world_last_report(m));
}

static void send_copies(struct trouble *t)
{
    while (t->copies->len > 0) {
        int controller = g_rand_int_range(t->rand, 0, WORLD_CONTROLLERS);
        world_send_copy(t->w, controller, g_ptr_array_index(t->copies, 0));
        g_ptr_array_steal_index(t->copies, 0);
    }
}

static void strike_machine(struct trouble *t)
{
    struct world_machine *m = any_machine(t);
    switch (g_rand_int_range(t->rand, 0, 9)) {
    case 7:
        m->stopped_reporting = !m->stopped_reporting;
        break;
    case 8:
        m->only_controller = m->only_controller < 0 ? g_rand_int_range(t->rand, 0, WORLD_CONTROLLERS) : -1;
        break;
    case 4:
        m->unresponsive = !m->unresponsive;
        break;
    case 5:
        keep_copy(t, m);
        break;
    case 6:
        send_copies(t);
        break;
    case 0:
        m->cut = !m->cut;
        break;
    case 1:
        m->hangs = !m->hangs;
        break;
    case 2:
        m->sick = !m->sick;
        break;
    default:
        m->gone = true;
        g_array_set_size(m->tasks, 0);
        break;
    }
}

static void strike_node(struct trouble *t)
{
    int controller = g_rand_int_range(t->rand, 0, WORLD_CONTROLLERS);
    int other = (controller + 1) % WORLD_CONTROLLERS;
    /* Links break with and without their process. */
    if (g_rand_boolean(t->rand) && t->w->cores[other] != NULL)
        world_lose_link(t->w, other, controller);
    if (g_rand_int_range(t->rand, 0, 4) == 0)
        return;
    if (t->w->cores[controller] != NULL)
        world_kill_controller(t->w, controller);
    else
        world_start_controller(t->w, controller);
    /* Some are back at once. */
    if (t->w->cores[controller] == NULL && g_rand_int_range(t->rand, 0, 3) == 0)
        world_start_controller(t->w, controller);
}

static void strike_service(struct trouble *t)
{
    switch (g_rand_int_range(t->rand, 0, 10)) {
    case 7:
        t->w->denied_controller = g_rand_int_range(t->rand, -1, WORLD_CONTROLLERS);
        break;
    case 8:
        t->w->peers_cut = !t->w->peers_cut;
        break;
    case 9:
        t->w->state_slow_s = t->w->state_slow_s > 0 ? 0 : g_rand_double_range(t->rand, 0.1, 1.2);
        break;
    case 5:
        t->w->isolated_controller = g_rand_int_range(t->rand, -1, WORLD_CONTROLLERS);
        break;
    case 6:
        t->w->lonely_controller = g_rand_int_range(t->rand, -1, WORLD_CONTROLLERS);
        break;
    case 0:
        t->w->state_down = !t->w->state_down;
        break;
    case 1:
        t->w->cloud_down = !t->w->cloud_down;
        break;
    case 2:
        t->w->hold_txns = !t->w->hold_txns;
        break;
    case 3:
        t->w->lose_txn_answers = !t->w->lose_txn_answers;
        break;
    default:
        t->w->hold_directs = !t->w->hold_directs;
        break;
    }
}

static void strike(struct trouble *t)
{
    int kind = g_rand_int_range(t->rand, 0, 10);
    if (kind < 4)
        strike_machine(t);
    else if (kind < 7)
        strike_node(t);
    else
        strike_service(t);
}

static void calm(struct trouble *t)
{
    struct world *w = t->w;
    w->isolated_controller = w->lonely_controller = w->denied_controller = -1;
    w->peers_cut = false;
    w->state_slow_s = 0;
    w->state_down = w->cloud_down = w->hold_txns = w->lose_txn_answers = w->hold_directs = false;
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *m = g_ptr_array_index(w->machines, i);
        m->cut = m->hangs = m->sick = m->unresponsive = m->stopped_reporting = false;
        m->only_controller = -1;
    }
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        if (w->cores[i] == NULL)
            world_start_controller(w, i);
}

static void job_id(char *id, size_t size, int i)
{
    g_snprintf(id, size, "run-%d", i + 1);
}

/* Users are stubborn: they ask again until they have an answer. */
static void submit_until_accepted(struct trouble *t, int i)
{
    struct world *w = t->w;
    char id[16];
    job_id(id, sizeof id, i);
    for (int attempt = 0; attempt < 200; attempt++) {
        struct ow_submission *s = world_job(id, 1 + (uint32_t)i % 4, 2);
        s->rank = (enum ow_rank)(i % 4);
        s->gang = i % 3 == 0;
        s->kind = s->gang ? OW_KIND_GANG : OW_KIND_ARRAY;
        s->one_zone = i % 2 == 0;
        uint64_t request = world_submit(w, attempt % WORLD_CONTROLLERS, s);
        world_run(w, 1);
        const struct world_answer *a = world_answer(w, request);
        if (a != NULL && (a->status == 200 || a->status == 201))
            return;
        if (g_rand_int_range(t->rand, 0, 4) == 0)
            strike(t);
        if (attempt > 60)
            calm(t);
    }
    fail_msg("%s was never accepted", id);
}

static void cancel_some(struct trouble *t)
{
    int i = g_rand_int_range(t->rand, 0, JOBS);
    char id[16];
    job_id(id, sizeof id, i);
    t->cancelled[i] = true;
    world_cancel(t->w, g_rand_int_range(t->rand, 0, WORLD_CONTROLLERS), id);
}

static void free_report(void *report)
{
    ow_report_free(report);
}

/* Once troubles are over, nobody asks in vain: users give a controller no minute to think. */
static void poll_all(struct trouble *t)
{
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        job_id(id, sizeof id, i);
        if (world_job_state(t->w, id) < 0)
            fail_msg("nobody knows %s", id);
    }
}

/* CPUs of a machine that tasks on it leave. */
static double free_cpus(struct world *w, const struct world_machine *m)
{
    double cpus = strcmp(m->type, "big") == 0 ? 16 : 8;
    for (guint k = 0; k < m->tasks->len; k++) {
        const struct world_task *task = &g_array_index(m->tasks, struct world_task, k);
        const struct world_wish *wish = g_hash_table_lookup(w->wishes, task->job);
        cpus -= task->phase != OW_PHASE_EXITED ? wish->cpus : 0;
    }
    return cpus;
}

/* Whether one machine has had room for the whole job for so long. */
static bool room_for(struct world *w, const struct world_wish *wish)
{
    for (guint i = 0; i < w->machines->len; i++) {
        const struct world_machine *m = g_ptr_array_index(w->machines, i);
        if (!m->gone && w->now > m->up_at + 10 && free_cpus(w, m) >= wish->tasks * wish->cpus)
            return true;
    }
    return false;
}

/* Once troubles are over, no job waits 90 s beside room that fits. */
static void watch_waiting(struct trouble *t, guint32 seed, int seconds)
{
    int waited[JOBS] = {0};
    for (int s = 0; s < seconds; s++) {
        world_run(t->w, 1);
        for (int i = 0; i < JOBS; i++) {
            char id[16];
            job_id(id, sizeof id, i);
            const struct world_wish *wish = g_hash_table_lookup(t->w->wishes, id);
            bool waits = !t->cancelled[i] && !world_all_done(t->w, id) && world_running(t->w, id) == 0 &&
                         room_for(t->w, wish);
            waited[i] = waits ? waited[i] + 1 : 0;
            if (waited[i] >= 90)
                fail_msg("seed %u: %s waits beside room", seed, id);
        }
    }
}

static void play(guint32 seed)
{
    struct trouble t = {.w = world_new(),
                        .rand = g_rand_new_with_seed(seed),
                        .copies = g_ptr_array_new_with_free_func(free_report)};
    struct world *w = t.w;
    w->capacity = 40;
    /* Every other time records have to be spread over many values. */
    for (int i = 0; i < WORLD_CONTROLLERS && seed % 2 == 0; i++)
        w->settings[i].value_kb = w->value_kb = 0.5;
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        world_start_controller(w, i);
    for (int i = 0; i < MACHINES; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        world_add_machine(w, name, "big", i % 2 == 0 ? "east" : "west", i % 3 == 0);
    }
    world_run(w, 5);
    for (int i = 0; i < JOBS; i++) {
        submit_until_accepted(&t, i);
        world_run(w, g_rand_double_range(t.rand, 0, 3));
        strike(&t);
    }
    for (int i = 0; i < 15; i++) {
        world_run(w, g_rand_double_range(t.rand, 0, 6));
        strike(&t);
        if (i % 5 == 0)
            cancel_some(&t);
    }
    calm(&t);
    world_run(w, 25);
    poll_all(&t);
    watch_waiting(&t, seed, 175);
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        job_id(id, sizeof id, i);
        int state = world_job_state(w, id);
        if (state != OW_JOB_DONE && !(state == OW_JOB_CANCELLED && t.cancelled[i]))
            fail_msg("seed %u: %s ends as %d", seed, id, state);
    }
    if (w->broken->len > 0 || w->too_large > 0)
        fail_msg("seed %u: %s", seed, w->broken->str);
    g_ptr_array_free(t.copies, TRUE);
    g_rand_free(t.rand);
    world_free(w);
}

static void test_troubles_on_troubles(void **state)
{
    (void)state;
    for (guint32 seed = 1; seed <= 30; seed++)
        play(seed);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_troubles_on_troubles)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
