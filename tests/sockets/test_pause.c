/* A process that goes on after it stood still: the loop tells, and what waited to be sent is dropped. */
#include "check.h"
#include "socket_bench.h"

/* More than a socket takes at once; how long a process stands still. */
enum { LARGE_BYTES = 64 * 1024 * 1024 };
static const double STANDSTILL_S = 0.3;

/* What waits to be sent when a process goes on after a pause is dropped on either side. */
static void test_unsent_bytes_are_dropped(void **state)
{
    struct socket_bench *bench = *state;
    char *large = g_strnfill(LARGE_BYTES, 'x');
    socket_bench_send_held(bench);
    ow_http_server_answer(bench->server, bench->waiting, 200, NULL, large, LARGE_BYTES);
    assert_int_equal(ow_http_server_count_connections(bench->server), 1);
    ow_http_server_drop_unsent(bench->server);
    assert_int_equal(ow_http_server_count_connections(bench->server), 0);
    ow_http_client_send(bench->client, socket_endpoint, "POST", "/echo", large, 30, 8);
    ow_http_client_drop_unsent(bench->client);
    assert_int_equal(bench->replies, 1);
    assert_int_equal(bench->status, 0);
    g_free(large);
}

static void note_lateness(void *owner, double late_s, double now)
{
    double *latest = owner;
    (void)now;
    *latest = late_s;
}

static void test_wake_after_a_pause_carries_its_length(void **state)
{
    struct socket_bench *bench = *state;
    double late_s = 0;
    ow_loop_set_wake_callback(bench->loop, note_lateness, &late_s);
    ow_loop_once(bench->loop, socket_bench_sweep, bench);
    g_usleep((gulong)(STANDSTILL_S * G_USEC_PER_SEC));
    ow_loop_once(bench->loop, socket_bench_sweep, bench);
    assert_true(late_s > STANDSTILL_S / 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_unsent_bytes_are_dropped, socket_bench_setup,
                                        socket_bench_teardown),
        cmocka_unit_test_setup_teardown(test_wake_after_a_pause_carries_its_length, socket_bench_setup,
                                        socket_bench_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
