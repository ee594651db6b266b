/* The rounds of an event loop whose batches are all full, as at a failover of a large fleet. */
#include "ready_connections.h"

#include "check.h"

enum { READY_CONNECTIONS = 300, BATCHES = 40 };
/* Interval at which a saturated loop may call its round. */
static const double ROUND_INTERVAL_S = 0.25;

static double count_round(void *owner, double now)
{
    unsigned *rounds = owner;
    (void)now;
    (*rounds)++;
    return 0;
}

/* Guards against decisions that take the processor's time from heartbeats, whose senders then time out. */
static void test_full_batches_are_read_before_the_next_round(void **state)
{
    struct ow_loop *loop = ow_loop_new();
    GPtrArray *connections = ready_connections_open(loop, READY_CONNECTIONS);
    unsigned rounds = 0;
    (void)state;
    ow_loop_once(loop, count_round, &rounds);
    double started_at = ow_loop_now(loop);
    rounds = 0;
    for (int i = 0; i < BATCHES; i++)
        ow_loop_once(loop, count_round, &rounds);
    double elapsed_s = ow_loop_now(loop) - started_at;
    ready_connections_close(loop, connections);
    ow_loop_free(loop);
    assert_true(rounds <= 1 + elapsed_s / ROUND_INTERVAL_S);
}

/* A round must not wait for the load to end: it renews the leader's lease. */
static void test_rounds_go_on_while_all_batches_are_full(void **state)
{
    struct ow_loop *loop = ow_loop_new();
    GPtrArray *connections = ready_connections_open(loop, READY_CONNECTIONS);
    unsigned rounds = 0;
    (void)state;
    double started_at = ow_loop_now(loop);
    while (ow_loop_now(loop) - started_at < 4 * ROUND_INTERVAL_S)
        ow_loop_once(loop, count_round, &rounds);
    ready_connections_close(loop, connections);
    ow_loop_free(loop);
    assert_true(rounds >= 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_full_batches_are_read_before_the_next_round),
        cmocka_unit_test(test_rounds_go_on_while_all_batches_are_full),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
