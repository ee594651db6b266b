/* The checks at run time: a violated invariant is counted, and the action is refused. */
#include "check.h"
#include "sim_cluster.h"

#include "core/api/job_reply.h"
#include "core/core.h"
#include "core/core_state.h"
#include "core/jobs/attempt.h"
#include "core/jobs/refresh_waiters.h"
#include "core/leader/leader.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/worker_commands.h"

struct fixture {
    struct sim_cluster *cluster; /* for its settings */
    struct ow_core *core;
};

static int setup(void **state)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    fixture->cluster = sim_new();
    fixture->core = ow_core_new(&fixture->cluster->settings[0], &fixture->cluster->tuning, 1);
    *state = fixture;
    return 0;
}

static int teardown(void **state)
{
    struct fixture *fixture = *state;
    ow_core_free(fixture->core);
    sim_free(fixture->cluster);
    g_free(fixture);
    return 0;
}

static void store_result(struct ow_core *core, void *data, enum ow_refresh_result result)
{
    (void)core;
    **(enum ow_refresh_result **)data = result;
}

static enum ow_refresh_result finish_read(struct ow_core *core, double asked_at, double sent_at)
{
    enum ow_refresh_result result = OW_REFRESH_NOT_LOADED;
    enum ow_refresh_result *target = &result;
    struct ow_refresh_waiters *waiters = ow_refresh_waiters_new();
    ow_refresh_waiters_add(waiters, store_result, g_memdup2(&target, sizeof target), asked_at);
    const struct ow_refresh refresh = {.sent_at = sent_at, .has_succeeded = true};
    ow_refresh_waiters_finish(waiters, core, &refresh);
    ow_refresh_waiters_free(waiters);
    return result;
}

static void test_answer_from_a_read_before_the_question_is_refused(void **state)
{
    const struct fixture *fixture = *state;
    assert_int_equal(finish_read(fixture->core, 5, 5), OW_REFRESH_DONE);
    assert_int_equal(ow_core_invariant_violations(fixture->core), 0);
    assert_int_equal(finish_read(fixture->core, 5, 4.9), OW_REFRESH_FAILED);
    assert_int_equal(ow_core_invariant_violations(fixture->core), 1);
}

static void test_cancellation_without_acknowledgement_is_not_shown(void **state)
{
    const struct fixture *fixture = *state;
    const struct ow_job *job = ow_jobs_cancel(fixture->core->jobs, "run-1", 5, 1);
    ow_job_reply_send(fixture->core, 1, 200, job);
    const struct ow_effect *effect = g_ptr_array_index(fixture->core->effects, 0);
    assert_int_equal(effect->kind, OW_EFFECT_REFUSE);
    assert_int_equal(effect->status, 503);
    assert_int_equal(ow_core_invariant_violations(fixture->core), 1);
}

static void test_launch_before_the_commit_of_its_record_is_refused(void **state)
{
    const struct fixture *fixture = *state;
    struct ow_leader *leader = ow_leader_new(fixture->core, 1);
    struct ow_machine *machine = ow_machines_find_or_add(leader, "m-1");
    struct ow_job *job = ow_jobs_cancel(fixture->core->jobs, "run-1", 5, 1);
    /* The state says that the record is committed; its transaction has not been sent. */
    struct ow_attempt attempt = {.job = job, .state = OW_ATTEMPT_COMMITTED, .transaction_serial = 1};
    g_ptr_array_add(machine->load.attempts, &attempt);
    g_autoptr(GArray) commands = ow_worker_commands_for(leader, machine, NULL);
    g_ptr_array_set_size(machine->load.attempts, 0);
    ow_leader_free(leader);
    assert_int_equal(commands->len, 0);
    assert_int_equal(ow_core_invariant_violations(fixture->core), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_answer_from_a_read_before_the_question_is_refused, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_cancellation_without_acknowledgement_is_not_shown, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_launch_before_the_commit_of_its_record_is_refused, setup,
                                        teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
