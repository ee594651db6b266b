/* Machine types: what controllers know of the cloud's offer, and the names that jobs list. Guards against
 * accepted jobs that never run, and new ones that are refused, because other names than the cloud's, or the
 * order in which a process learns names, decide which types a controller can use. */
#include "check.h"
#include "sim_cluster.h"
#include "model/cloud.h"
#include "model/submission.h"

/* The number of names that each job with a long list of types allows. */
enum { LISTED_NAMES = 32 };

static int setup_one_machine_of_each_type(void **state)
{
    struct sim_cluster *cluster = sim_with_machines(1);
    sim_add_machine(cluster, "m-gpu", "gpu", "east", false);
    sim_run(cluster, 4);
    *state = cluster;
    return 0;
}

/* Names of types that the cloud does not offer, different for each prefix, and the name of one that it
 * offers. */
static char **names_with(const char *prefix, const char *offered)
{
    GStrvBuilder *builder = g_strv_builder_new();
    for (int i = 1; i < LISTED_NAMES; i++) {
        g_autofree char *name = g_strdup_printf("%s-%d", prefix, i);
        g_strv_builder_add(builder, name);
    }
    g_strv_builder_add(builder, offered);
    char **names = g_strv_builder_end(builder);
    g_strv_builder_unref(builder);
    return names;
}

/* Starts services on "big" that together allow more than 64 types which the cloud does not offer. */
static void start_services_with_unoffered_types(struct sim_cluster *cluster)
{
    static const char *const ids[] = {"run-1", "run-2", "run-3"};
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        struct ow_submission *service = sim_service(ids[i], 1, 1);
        service->types = names_with(ids[i], "big");
        sim_submit_accepted(cluster, 0, service);
        assert_true(sim_run_until(cluster, 10, sim_job_is_running, ids[i]));
    }
}

static void restart_controllers(struct sim_cluster *cluster)
{
    sim_kill_controllers(cluster);
    sim_run(cluster, 5);
    sim_start_controllers(cluster);
}

/* An array job whose tasks need one GPU each. */
static struct ow_submission *gpu_job(const char *id, uint32_t tasks)
{
    struct ow_submission *job = sim_job(id, tasks, 1);
    job->need.gpus = 1;
    return job;
}

/* Guards against accepted jobs that stay queued for good: after a restart of all controllers the names of
 * open jobs, which are read first, displaced the types that the cloud offers. */
static void test_accepted_job_runs_after_restart_though_jobs_name_unoffered_types(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 12;
    start_services_with_unoffered_types(cluster);
    sim_submit_accepted(cluster, 0, gpu_job("run-4", 6));
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-4"));
    restart_controllers(cluster);
    assert_true(sim_run_until(cluster, 75, sim_job_is_done, "run-4"));
    sim_check_safety(cluster);
}

/* Guards against new jobs that get 422 for the same reason, at every controller. */
static void test_job_is_accepted_after_restart_though_jobs_name_unoffered_types(void **state)
{
    struct sim_cluster *cluster = *state;
    start_services_with_unoffered_types(cluster);
    restart_controllers(cluster);
    sim_run(cluster, 20);
    sim_submit_accepted(cluster, 0, gpu_job("run-5", 1));
    sim_submit_accepted(cluster, 1, gpu_job("run-6", 1));
    sim_submit_accepted(cluster, 2, gpu_job("run-7", 1));
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-7"));
    sim_check_safety(cluster);
}

/* Guards against a job that is accepted but never placed because its list names the offered type last, after
 * many others, and against one that is placed on a type that it does not list. */
static void test_offered_type_is_used_wherever_it_stands_in_the_list(void **state)
{
    struct sim_cluster *cluster = *state;
    start_services_with_unoffered_types(cluster);
    struct ow_submission *job = sim_job("run-4", 1, 1);
    job->types = names_with("run-4", "gpu");
    cluster->run_time_s = 100;
    restart_controllers(cluster);
    sim_run(cluster, 20);
    struct sim_machine *machine = sim_start_job(cluster, job);
    assert_string_equal(machine->type, "gpu");
    sim_check_safety(cluster);
}

/* Guards against machines of the last types of a long offer that are never used. */
static void test_every_type_of_a_long_offer_is_used(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_new();
    cluster->other_types = 200;
    sim_start_controllers(cluster);
    sim_add_machine(cluster, "m-gpu", "gpu", "east", false);
    sim_run(cluster, 8);
    sim_submit_accepted(cluster, 0, gpu_job("run-1", 1));
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-1"));
    cluster->provisionable_machines = 4;
    sim_submit_accepted(cluster, 0, sim_job("run-2", 1, 10));
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-2"));
    sim_finish(cluster);
}

/* ---- what is learned late ---- */

/* Longer than the interval at which controllers ask the cloud for its types. */
static const double TYPES_INTERVAL_S = 70;

static struct sim_cluster *start_without_gpu_type(void)
{
    struct sim_cluster *cluster = sim_new();
    cluster->gpu_not_offered = true;
    sim_start_controllers(cluster);
    sim_add_machines(cluster, 1);
    sim_run(cluster, 8);
    return cluster;
}

/* Restarts all controllers while the cloud is down. */
static void restart_controllers_without_cloud(struct sim_cluster *cluster)
{
    cluster->cloud_down = true;
    restart_controllers(cluster);
    sim_run(cluster, 20);
}

/* Guards against jobs that get 422 for good from a controller that started before the cloud offered the type
 * they need. */
static void test_every_controller_learns_a_type_that_is_offered_later(void **state)
{
    (void)state;
    struct sim_cluster *cluster = start_without_gpu_type();
    cluster->gpu_not_offered = false;
    cluster->provisionable_machines = 3;
    sim_run(cluster, TYPES_INTERVAL_S);
    sim_submit_accepted(cluster, 0, gpu_job("run-1", 1));
    sim_submit_accepted(cluster, 1, gpu_job("run-2", 1));
    sim_submit_accepted(cluster, 2, gpu_job("run-3", 1));
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-3"));
    sim_finish(cluster);
}

/* Guards against an accepted job that waits for the cloud beside a machine with room: the leader took the
 * lead before it had read the recorded types, and read them no more. */
static void test_leader_reads_the_recorded_types_though_its_first_read_fails(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->cloud_down = true;
    sim_kill_controllers(cluster);
    cluster->store_down = true;
    sim_start_controllers(cluster);
    sim_run(cluster, 0.3);
    cluster->store_down = false;
    sim_run(cluster, 20);
    sim_submit_accepted(cluster, sim_follower(cluster), sim_job("run-1", 1, 1));
    sim_submit_accepted(cluster, sim_leader(cluster), sim_job("run-2", 1, 1));
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

static struct sim_cluster *start_without_cloud(void)
{
    struct sim_cluster *cluster = sim_new();
    cluster->cloud_down = true;
    sim_start_controllers(cluster);
    sim_add_machines(cluster, 1);
    sim_run(cluster, 8);
    return cluster;
}

/* Guards against types that are never recorded in a term whose first request to the cloud fails. */
static void test_types_are_recorded_though_the_first_answer_of_the_cloud_is_an_error(void **state)
{
    (void)state;
    struct sim_cluster *cluster = start_without_cloud();
    cluster->cloud_down = false;
    sim_run(cluster, 8);
    restart_controllers_without_cloud(cluster);
    sim_submit_accepted(cluster, sim_follower(cluster), sim_job("run-1", 1, 1));
    sim_finish(cluster);
}

/* Guards against types that are never recorded in a term in which the first write of them fails. */
static void test_types_are_recorded_though_their_first_write_fails(void **state)
{
    (void)state;
    struct sim_cluster *cluster = start_without_cloud();
    cluster->cloud_down = false;
    cluster->store_down = true;
    sim_run(cluster, 2.5);
    cluster->store_down = false;
    sim_run(cluster, TYPES_INTERVAL_S);
    restart_controllers_without_cloud(cluster);
    sim_submit_accepted(cluster, sim_follower(cluster), sim_job("run-1", 1, 1));
    sim_finish(cluster);
}

/* Guards against 422 after a restart, for a type that the cloud offered only after the leader's first
 * record. */
static void test_a_type_that_is_offered_later_is_recorded(void **state)
{
    (void)state;
    struct sim_cluster *cluster = start_without_gpu_type();
    cluster->gpu_not_offered = false;
    sim_run(cluster, TYPES_INTERVAL_S);
    restart_controllers_without_cloud(cluster);
    sim_submit_accepted(cluster, sim_follower(cluster), gpu_job("run-1", 1));
    sim_finish(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_accepted_job_runs_after_restart_though_jobs_name_unoffered_types,
                                        setup_one_machine_of_each_type, sim_teardown),
        cmocka_unit_test_setup_teardown(test_job_is_accepted_after_restart_though_jobs_name_unoffered_types,
                                        setup_one_machine_of_each_type, sim_teardown),
        cmocka_unit_test_setup_teardown(test_offered_type_is_used_wherever_it_stands_in_the_list,
                                        setup_one_machine_of_each_type, sim_teardown),
        cmocka_unit_test(test_every_type_of_a_long_offer_is_used),
        cmocka_unit_test(test_every_controller_learns_a_type_that_is_offered_later),
        cmocka_unit_test_setup_teardown(test_leader_reads_the_recorded_types_though_its_first_read_fails,
                                        setup_one_machine_of_each_type, sim_teardown),
        cmocka_unit_test(test_types_are_recorded_though_the_first_answer_of_the_cloud_is_an_error),
        cmocka_unit_test(test_types_are_recorded_though_their_first_write_fails),
        cmocka_unit_test(test_a_type_that_is_offered_later_is_recorded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
