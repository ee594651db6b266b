/* A process that resumes after a pause: the loop reports the pause, and unsent data is dropped. */
#include "check.h"
#include "socket_fixture.h"

/* More than a socket buffer holds. */
enum { LARGE_BYTES = 64 * 1024 * 1024 };
static const double PAUSE_S = 0.3;

/* When a process resumes after a pause, the server and the client drop the data that they have not sent yet.
 */
static void test_unsent_bytes_are_dropped(void **state)
{
    struct socket_fixture *fixture = *state;
    char *large = g_strnfill(LARGE_BYTES, 'x');
    socket_fixture_send_held(fixture);
    ow_http_server_answer(fixture->server, fixture->last_request, 200, NULL, large, LARGE_BYTES);
    assert_int_equal(ow_http_server_count_connections(fixture->server), 1);
    ow_http_server_drop_unsent(fixture->server);
    assert_int_equal(ow_http_server_count_connections(fixture->server), 0);
    ow_http_client_send(fixture->client, socket_endpoint, "POST", "/echo", large, 30, 8);
    ow_http_client_drop_unsent(fixture->client);
    assert_int_equal(fixture->responses, 1);
    assert_int_equal(fixture->status, 0);
    g_free(large);
}

static void record_pause(void *owner, double pause_s, double now)
{
    double *recorded_s = owner;
    (void)now;
    *recorded_s = pause_s;
}

static void test_wake_callback_reports_the_length_of_a_pause(void **state)
{
    struct socket_fixture *fixture = *state;
    double pause_s = 0;
    ow_loop_set_wake_callback(fixture->loop, record_pause, &pause_s);
    ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
    g_usleep((gulong)(PAUSE_S * G_USEC_PER_SEC));
    ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
    assert_true(pause_s > PAUSE_S / 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_unsent_bytes_are_dropped, socket_fixture_setup,
                                        socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_wake_callback_reports_the_length_of_a_pause,
                                        socket_fixture_setup, socket_fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
