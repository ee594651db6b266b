/* A leader whose process can't keep up with the heartbeats: its decisions are rarer, and go on. The test
 * counts the scheduling cycles by replacing ow_schedule_cycle() at link time. */
#include "check.h"
#include "sim_cluster.h"

#include "core/scheduling/schedule.h"

enum { MACHINES = 4, JOBS = 40 };
static const double STEP_S = 0.4, DURATION_S = 20;
/* A step that decides is followed by a pause of three times its duration. */
static const double CYCLES_PER_S_MAX = 1 / (3 * STEP_S);

static unsigned cycles;

void __real_ow_schedule_cycle(struct ow_leader *leader);
void __wrap_ow_schedule_cycle(struct ow_leader *leader);

void __wrap_ow_schedule_cycle(struct ow_leader *leader)
{
    cycles++;
    __real_ow_schedule_cycle(leader);
}

static int setup(void **state)
{
    struct sim_cluster *cluster = sim_with_machines(MACHINES);
    cluster->run_time_s = 1;
    *state = cluster;
    return 0;
}

static void set_overload(struct sim_cluster *cluster, double step_s)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        ow_shard_manager_set_overload(cluster->controllers[i], step_s);
}

/* Submits a job every half second, each of which makes a cycle due when it is accepted and when it ends. */
static void run_many_jobs(struct sim_cluster *cluster)
{
    cycles = 0;
    for (int i = 0; i < JOBS; i++) {
        g_autofree char *id = g_strdup_printf("run-%d", i + 1);
        sim_submit(cluster, 0, sim_job(id, 1, 1));
        sim_run(cluster, DURATION_S / JOBS);
    }
}

static void test_overloaded_leader_makes_fewer_decisions(void **state)
{
    struct sim_cluster *cluster = *state;
    set_overload(cluster, STEP_S);
    run_many_jobs(cluster);
    assert_in_range(cycles, 1, (unsigned)(CYCLES_PER_S_MAX * DURATION_S) + 1);
    sim_check_safety(cluster);
}

static void test_jobs_complete_on_an_overloaded_leader(void **state)
{
    enum { EXCESSIVE_STEP_S = 60 };
    struct sim_cluster *cluster = *state;
    set_overload(cluster, EXCESSIVE_STEP_S);
    run_many_jobs(cluster);
    sim_run(cluster, DURATION_S);
    for (int i = 0; i < JOBS; i++) {
        g_autofree char *id = g_strdup_printf("run-%d", i + 1);
        assert_int_equal(sim_job_state(cluster, id), OW_JOB_DONE);
    }
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_overloaded_leader_makes_fewer_decisions, setup, sim_teardown),
        cmocka_unit_test_setup_teardown(test_jobs_complete_on_an_overloaded_leader, setup, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
