/* A leader that stood still in a fleet without shards. Guards against answers to workers under a fencing
 * token whose lease has ended: seen in the soak as "stale order". */
#include "check.h"
#include "sim_cluster.h"
#include "model/effect.h"

/* Answers to heartbeats by the paused leader, under its old fencing token. */
struct stale_answers {
    int controller;
    uint64_t fencing_token;
    unsigned count;
};

static void count_stale_answers(void *data, const struct sim_cluster *cluster, int controller,
                                const struct ow_effect *effect)
{
    struct stale_answers *stale = data;
    (void)cluster;
    if (controller == stale->controller && effect->kind == OW_EFFECT_WORKER_COMMANDS &&
        effect->fencing_token == stale->fencing_token)
        stale->count++;
}

/* Guards against a leader that goes on after a pause longer than its lease, while a successor leads, and
 * answers the heartbeats that have queued up before it finds that its lease has ended. */
static void test_resumed_leader_answers_no_heartbeat_after_its_lease(void **state)
{
    struct sim_cluster *cluster = *state;
    struct stale_answers stale = {.controller = sim_leader(cluster)};
    stale.fencing_token = sim_fencing_token(cluster, stale.controller);
    sim_freeze_controller(cluster, stale.controller);
    sim_run(cluster, 2 * cluster->tuning.leader_lease_s + 2);
    assert_true(sim_leader(cluster) >= 0);
    cluster->observer.on_effect = count_stale_answers;
    cluster->observer.data = &stale;
    sim_thaw_controller(cluster, stale.controller);
    sim_run(cluster, 5);
    assert_int_equal(stale.count, 0);
    sim_check_safety(cluster);
}

static int setup_eight_machines(void **state)
{
    *state = sim_with_machines(8);
    return 0;
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_resumed_leader_answers_no_heartbeat_after_its_lease,
                                        setup_eight_machines, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
