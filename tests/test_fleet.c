/* A world as large as the largest deployment, and half as large again: every controller restarts at once and a
   third of the machines is lost. No rule may break, all work is done, and what is asked of others is bounded. */
#include "check.h"
#include "world.h"

enum { MACHINES = 2000, GANGS = 40, SCANS = 40, BILLS = 30 };

static void set_rates(struct world *w)
{
    for (int i = 0; i < WORLD_NODES; i++) {
        struct ow_settings *s = &w->settings[i];
        s->report_s = 5;
        s->lease_s = 26.5;
        s->cancel_s = 46.5;
        s->state_rps = 400;
        s->state_write_rps = 150;
        s->value_kb = 16;
        s->txn_ops = 48;
        s->cloud_rps = 7;
    }
}

static struct world *fleet_world(void)
{
    struct world *w = world_new();
    set_rates(w);
    w->capacity = MACHINES;
    for (int i = 0; i < WORLD_NODES; i++)
        world_start_node(w, i);
    for (int i = 0; i < MACHINES; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%05d", i);
        world_add_machine(w, name, i % 5 < 3 ? "big" : "gpu", i % 2 == 0 ? "east" : "west", i % 3 == 0);
    }
    world_run(w, 12);
    return w;
}

static void name_job(char *id, size_t size, int n)
{
    g_snprintf(id, size, "run-%06d", n);
}

static struct ow_submission *job_of_class(int n, const char *class_name, uint32_t tasks, double cpus,
                                          double gpus, enum ow_rank rank)
{
    char id[16], image[16];
    name_job(id, sizeof id, n);
    g_snprintf(image, sizeof image, "img-%s-%d", class_name, n % 10);
    struct ow_submission *s = world_job(id, tasks, cpus);
    g_free(s->class_name);
    g_free(s->image);
    s->class_name = g_strdup(class_name);
    s->image = g_strdup(image);
    s->need.gpus = gpus;
    s->rank = rank;
    s->estimate_s = 30;
    return s;
}

static int hand_in(struct world *w)
{
    int n = 0;
    for (int i = 0; i < GANGS; i++, n++) {
        struct ow_submission *s = job_of_class(n, "sync", 6 + 5 * ((uint32_t)i % 3), 8, 0, OW_RANK_URGENT);
        s->kind = OW_KIND_GANG;
        s->gang = s->one_zone = true;
        world_submit(w, i % WORLD_NODES, s);
    }
    for (int i = 0; i < SCANS; i++, n++)
        world_submit(w, i % WORLD_NODES, job_of_class(n, "scan", 20 + (uint32_t)i, 3, 1, OW_RANK_STANDARD));
    for (int i = 0; i < BILLS; i++, n++)
        world_submit(w, i % WORLD_NODES,
                     job_of_class(n, "bill", 100 + 10 * (uint32_t)i, 1, 0, OW_RANK_LOW));
    return n;
}

static void restart_all(struct world *w)
{
    for (int i = 0; i < WORLD_NODES; i++)
        world_kill_node(w, i);
    world_run(w, 8);
    for (int i = 0; i < WORLD_NODES; i++)
        world_start_node(w, i);
}

static void lose_a_third(struct world *w)
{
    for (guint i = 0; i < w->machines->len; i += 3) {
        struct world_machine *m = g_ptr_array_index(w->machines, i);
        m->gone = true;
        g_array_set_size(m->tasks, 0);
    }
}

static bool all_jobs_done(struct world *w, const void *count)
{
    char id[16];
    for (int n = 0; n < *(const int *)count; n++) {
        name_job(id, sizeof id, n);
        if (!world_all_done(w, id))
            return false;
    }
    return true;
}

static void test_the_whole_fleet_restarts(void **state)
{
    (void)state;
    struct world *w = fleet_world();
    w->run_s = 30;
    int jobs = hand_in(w);
    world_run(w, 15);
    restart_all(w);
    world_run(w, 3);
    lose_a_third(w);
    double since = w->now;
    w->state_requests = w->state_changes = w->cloud_calls = w->directs = 0;
    bool done = world_until(w, 240, all_jobs_done, &jobs);
    double took = w->now - since;
    if (g_getenv("SHOW") != NULL)
        g_printerr("done %d after %.1f s: %u state requests, %u changes, %u cloud calls, %u direct orders\n", done,
                   took, w->state_requests, w->state_changes, w->cloud_calls, w->directs);
    assert_true(done);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_the_whole_fleet_restarts)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
