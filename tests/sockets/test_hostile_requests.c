/* Requests that are malformed, cut or sent in unusual ways end neither the server nor its service to others.
 */
#include "check.h"
#include "raw_client.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char sound_request[] = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";

static void test_every_cut_of_a_request_leaves_the_server_at_work(void **state)
{
    struct socket_fixture *fixture = *state;
    for (size_t size = 0; size < strlen(sound_request); size++) {
        int fd = raw_client_connect(fixture);
        raw_client_send(fixture, fd, sound_request, size);
        close(fd);
        raw_client_run(fixture, 3);
    }
    assert_true(raw_client_others_are_served(fixture));
    assert_int_equal(ow_http_server_count_connections(fixture->server), 1);
}

static void test_request_may_arrive_one_byte_at_a_time(void **state)
{
    struct socket_fixture *fixture = *state;
    int fd = raw_client_connect(fixture);
    for (size_t i = 0; i < strlen(sound_request); i++)
        raw_client_send(fixture, fd, sound_request + i, 1);
    g_autofree char *answer = raw_client_receive(fixture, fd);
    assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
    assert_true(g_str_has_suffix(answer, "hello"));
    close(fd);
}

static void test_requests_in_other_spellings_are_the_same(void **state)
{
    struct socket_fixture *fixture = *state;
    static const char *const requests[] = {
        "POST /echo HTTP/1.1\r\nhost:a\r\ncontent-length:5\r\n\r\nhello",
        "POST /echo HTTP/1.1\r\nHOST: a\r\nCONTENT-LENGTH:\t 5 \t\r\n\r\nhello",
        "\r\n\r\nPOST /echo HTTP/1.1\r\nX-Unknown: \r\nContent-Type: text/plain\r\nContent-Length: "
        "005\r\n\r\nhello",
        "POST /echo HTTP/1.1\nContent-Length: 5\n\nhello",
        "POST /echo HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: "
        "v\r\n\r\n",
        "POST /echo HTTP/1.0\r\nConnection: Keep-Alive\r\nContent-Length: 5\r\n\r\nhello",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        int fd = raw_client_connect(fixture);
        raw_client_send(fixture, fd, requests[i], strlen(requests[i]));
        g_autofree char *answer = raw_client_receive(fixture, fd);
        if (!g_str_has_prefix(answer, "HTTP/1.1 200") || !g_str_has_suffix(answer, "hello"))
            fail_msg("%s: %s", requests[i], answer);
        close(fd);
    }
}

static void test_malformed_requests_are_refused_and_closed(void **state)
{
    struct socket_fixture *fixture = *state;
    static const char *const requests[] = {
        "POST /echo HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST /echo HTTP/1.1\r\nContent-Length: 5x\r\n\r\nhello",
        "POST /echo HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "POST /echo HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        "POST /echo HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
        "POST /echo HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n",
        "POST /echo HTTP/1.1\r\nno colon\r\n\r\n",
        "POST /echo HTTP/1.1\r\nContent-Length : 5\r\n\r\nhello",
        "POST /echo HTTP/2.0\r\n\r\n",
        "POST echo HTTP/1.1\r\n\r\n",
        "\x16\x03\x01\x02",
        "GET / HTTP/1.1 extra\r\n\r\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        int fd = raw_client_connect(fixture);
        raw_client_send(fixture, fd, requests[i], strlen(requests[i]));
        raw_client_send(fixture, fd, "\r\n\r\n", 4);
        g_autofree char *answer = raw_client_receive(fixture, fd);
        raw_client_run(fixture, 3);
        if (!g_str_has_prefix(answer, "HTTP/1.1 400") || !raw_client_is_closed(fd))
            fail_msg("%s: %s", requests[i], answer);
        close(fd);
    }
    assert_true(raw_client_others_are_served(fixture));
}

static void test_headers_that_never_end_are_refused(void **state)
{
    struct socket_fixture *fixture = *state;
    int fd = raw_client_connect(fixture);
    raw_client_send(fixture, fd, "GET / HTTP/1.1\r\n", 16);
    for (int i = 0; i < 2000 && !raw_client_is_closed(fd); i++)
        raw_client_send(fixture, fd, "X-Filler: aaaaaaaaaaaaaaaaaaaa\r\n", 32);
    assert_true(raw_client_is_closed(fd));
    close(fd);
    assert_true(raw_client_others_are_served(fixture));
}

static void test_body_longer_than_said_is_the_next_request(void **state)
{
    struct socket_fixture *fixture = *state;
    static const char request[] = "POST /echo HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello world\r\n";
    int fd = raw_client_connect(fixture);
    raw_client_send(fixture, fd, request, strlen(request));
    g_autofree char *answer = raw_client_receive(fixture, fd);
    assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
    raw_client_run(fixture, 5);
    assert_true(raw_client_is_closed(fd));
    close(fd);
}

static void test_body_shorter_than_said_holds_up_nobody_else(void **state)
{
    struct socket_fixture *fixture = *state;
    static const char request[] = "POST /echo HTTP/1.1\r\nContent-Length: 500\r\n\r\nhello";
    int fd = raw_client_connect(fixture);
    raw_client_send(fixture, fd, request, strlen(request));
    assert_true(raw_client_others_are_served(fixture));
    shutdown(fd, SHUT_WR);
    raw_client_run(fixture, 5);
    assert_true(raw_client_is_closed(fd));
    close(fd);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_every_cut_of_a_request_leaves_the_server_at_work,
                                        socket_fixture_setup, socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_request_may_arrive_one_byte_at_a_time, socket_fixture_setup,
                                        socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_requests_in_other_spellings_are_the_same, socket_fixture_setup,
                                        socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_malformed_requests_are_refused_and_closed, socket_fixture_setup,
                                        socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_headers_that_never_end_are_refused, socket_fixture_setup,
                                        socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_body_longer_than_said_is_the_next_request, socket_fixture_setup,
                                        socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_body_shorter_than_said_holds_up_nobody_else,
                                        socket_fixture_setup, socket_fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
