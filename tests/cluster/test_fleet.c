/* A cluster 1.5 times as large as the largest deployment. Guards against scheduling rounds that take
 * longer than their interval while many jobs wait. Also guards against broken safety rules, incomplete
 * jobs and an unbounded load on other services when all controllers restart at once and a third of the
 * machines is lost. */
#include "check.h"
#include "core/machines/machine_registry.h"
#include "sim_cluster.h"
#include "model/submission.h"

enum { MACHINES = 2000, SYNC_GANGS = 40, SCAN_ARRAYS = 40, BILL_ARRAYS = 30 };
/* The limit for 10 s, averaged over the machines: 100 rounds, each of which may check a machine several
 * times for each of the 3 classes. */
enum { CHECKS_PER_MACHINE_MAX = 2000 };
/* Jobs that each have a class of their own. */
enum { OWN_CLASS_JOBS = 200 };

static int setup_fleet(void **state)
{
    struct sim_cluster *cluster = sim_new();
    *state = cluster;
    sim_set_largest_limits(cluster);
    cluster->provisionable_machines = MACHINES;
    sim_start_controllers(cluster);
    for (int i = 0; i < MACHINES; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%05d", i);
        sim_add_machine(cluster, name, i % 5 < 3 ? "big" : "gpu", i % 2 == 0 ? "east" : "west", i % 3 == 0);
    }
    sim_run(cluster, 12);
    return 0;
}

static void format_job_id(char *id, size_t size, int n)
{
    g_snprintf(id, size, "run-%06d", n);
}

static struct ow_submission *job_of_class(int n, const char *class_name, uint32_t tasks, double cpus,
                                          double gpus, enum ow_rank rank)
{
    char id[16];
    char image[16];
    format_job_id(id, sizeof id, n);
    g_snprintf(image, sizeof image, "img-%s-%d", class_name, n % 10);
    struct ow_submission *submission = sim_job(id, tasks, cpus);
    g_free(submission->class_name);
    g_free(submission->image);
    submission->class_name = g_strdup(class_name);
    submission->image = g_strdup(image);
    submission->need.gpus = gpus;
    submission->rank = rank;
    submission->estimate_s = 30;
    return submission;
}

/* Submits gangs and arrays of three classes, numbered from `n`; returns the next number. */
static int submit_mixed_jobs(struct sim_cluster *cluster, int n)
{
    for (int i = 0; i < SYNC_GANGS; i++, n++) {
        struct ow_submission *submission =
            job_of_class(n, "sync", 6 + 5 * ((uint32_t)i % 3), 8, 0, OW_RANK_URGENT);
        submission->kind = OW_KIND_GANG;
        submission->one_zone = true;
        sim_submit(cluster, i % SIM_CONTROLLERS, submission);
    }
    for (int i = 0; i < SCAN_ARRAYS; i++, n++)
        sim_submit(cluster, i % SIM_CONTROLLERS,
                   job_of_class(n, "scan", 20 + (uint32_t)i, 3, 1, OW_RANK_STANDARD));
    for (int i = 0; i < BILL_ARRAYS; i++, n++)
        sim_submit(cluster, i % SIM_CONTROLLERS,
                   job_of_class(n, "bill", 100 + 10 * (uint32_t)i, 1, 0, OW_RANK_LOW));
    return n;
}

static void restart_all_controllers(struct sim_cluster *cluster)
{
    sim_kill_controllers(cluster);
    sim_run(cluster, 8);
    sim_start_controllers(cluster);
}

static void delete_a_third_of_the_machines(struct sim_cluster *cluster)
{
    for (guint i = 0; i < cluster->machines->len; i += 3) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        sim_delete_machine(machine);
    }
}

static bool all_jobs_done(struct sim_cluster *cluster, const void *count)
{
    char id[16];
    for (int n = 0; n < *(const int *)count; n++) {
        format_job_id(id, sizeof id, n);
        if (!sim_job_is_done(cluster, id))
            return false;
    }
    return true;
}

/* ---- checks of machines while jobs wait ---- */

static unsigned long machine_checks;

bool __real_ow_machine_is_usable(const struct ow_leader *leader, const struct ow_machine *m);
bool __wrap_ow_machine_is_usable(const struct ow_leader *leader, const struct ow_machine *m);

/* Counts the checks of machines: every check begins with this call. */
bool __wrap_ow_machine_is_usable(const struct ow_leader *leader, const struct ow_machine *m)
{
    machine_checks++;
    return __real_ow_machine_is_usable(leader, m);
}

/* Checks of each machine, on average, in the next 10 s. More than `minimum` machines must be left then. */
static double checks_per_machine(struct sim_cluster *cluster, double minimum)
{
    machine_checks = 0;
    sim_run(cluster, 10);
    double machines = 0;
    for (guint i = 0; i < cluster->machines->len; i++)
        machines += !sim_machine_at(cluster, i)->deleted;
    assert_true(machines > minimum);
    return (double)machine_checks / machines;
}

/* Every machine is full while many jobs wait. A round must check each machine once for every class, not
 * for every waiting job: rounds once took longer than the interval between them. */
static void test_waiting_jobs_add_no_machine_checks(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->provisionable_machines = 0;
    cluster->run_time_s = 100;
    int jobs = 0;
    for (int i = 0; i < 8; i++)
        jobs = submit_mixed_jobs(cluster, jobs);
    sim_run(cluster, 20);
    assert_true(checks_per_machine(cluster, MACHINES / 2.0) < CHECKS_PER_MACHINE_MAX);
    sim_check_safety(cluster);
}

/* Guards against a leader that is slower with each class name that users have ever sent: every machine was
 * checked for each of them. */
static void test_classes_of_finished_jobs_add_no_machine_checks(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 5;
    double checks_without_classes = checks_per_machine(cluster, 0);
    for (int n = 0; n < OWN_CLASS_JOBS; n++) {
        g_autofree char *class_name = g_strdup_printf("class-%d", n);
        sim_submit(cluster, n % SIM_CONTROLLERS, job_of_class(n, class_name, 1, 1, 0, OW_RANK_STANDARD));
    }
    int jobs = OWN_CLASS_JOBS;
    assert_true(sim_run_until(cluster, 60, all_jobs_done, &jobs));
    /* Less than one more for each class. */
    assert_true(checks_per_machine(cluster, 0) < checks_without_classes + OWN_CLASS_JOBS);
    sim_check_safety(cluster);
}

/* ---- restart of all controllers ---- */

static void test_jobs_complete_after_all_controllers_restart_and_machines_are_lost(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 30;
    int jobs = submit_mixed_jobs(cluster, 0);
    sim_run(cluster, 15);
    restart_all_controllers(cluster);
    sim_run(cluster, 3);
    delete_a_third_of_the_machines(cluster);
    double started_at = cluster->now;
    cluster->store_requests = cluster->store_mutations = cluster->cloud_requests = 0;
    assert_true(sim_run_until(cluster, 240, all_jobs_done, &jobs));
    /* Within the services' rate limits, less a reserve for requests of users. */
    double elapsed_s = cluster->now - started_at;
    assert_true(cluster->store_requests < 0.5 * cluster->settings[0].store_rps * elapsed_s);
    assert_true(cluster->store_mutations < 0.8 * cluster->settings[0].store_write_rps * elapsed_s);
    assert_true(cluster->cloud_requests < 0.8 * cluster->settings[0].cloud_rps * elapsed_s);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_waiting_jobs_add_no_machine_checks, setup_fleet, sim_teardown),
        cmocka_unit_test_setup_teardown(test_classes_of_finished_jobs_add_no_machine_checks, setup_fleet,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(
            test_jobs_complete_after_all_controllers_restart_and_machines_are_lost, setup_fleet,
            sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
