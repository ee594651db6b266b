/* The HTTP parser: valid and invalid messages, each fed at once and byte by byte, and random input. */
#include "check.h"
#include "io/http_parse.h"

#include <string.h>

struct sample {
    enum ow_http_side side;
    const char *text;
    enum ow_http_result result;
    const char *body;
};

static const struct sample samples[] = {
    {OW_HTTP_REQUEST, "GET /up HTTP/1.1\r\n\r\n", OW_HTTP_DONE, ""},
    {OW_HTTP_REQUEST, "\r\nGET /up HTTP/1.1\nHost: x\n\n", OW_HTTP_DONE, ""},
    {OW_HTTP_REQUEST, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", OW_HTTP_DONE, "abc"},
    {OW_HTTP_REQUEST,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", OW_HTTP_DONE,
     "abc"},
    {OW_HTTP_REQUEST, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTrailer: t\r\n\r\n",
     OW_HTTP_DONE, ""},
    {OW_HTTP_REQUEST, "POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n", OW_HTTP_TOO_LARGE, NULL},
    {OW_HTTP_REQUEST, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n", OW_HTTP_TOO_LARGE,
     NULL},
    {OW_HTTP_REQUEST, "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", OW_HTTP_MALFORMED,
     NULL},
    {OW_HTTP_REQUEST, "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_REQUEST, "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", OW_HTTP_MALFORMED,
     NULL},
    {OW_HTTP_REQUEST, "POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
     OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_REQUEST, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", OW_HTTP_MALFORMED,
     NULL},
    {OW_HTTP_REQUEST, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", OW_HTTP_MALFORMED,
     NULL},
    {OW_HTTP_REQUEST, "GET /up HTTP/2.0\r\n\r\n", OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_REQUEST, "GET  /up HTTP/1.1\r\n\r\n", OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_REQUEST, "GET up HTTP/1.1\r\n\r\n", OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_REQUEST, "GET\r\n\r\n", OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_REQUEST, "TOOLONGAMETHODNAME /up HTTP/1.1\r\n\r\n", OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_REQUEST, "GET /up HTTP/1.1\r\nno colon\r\n\r\n", OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_REQUEST, "GET /up HTTP/1.1\r\nbad name: x\r\n\r\n", OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_REQUEST, "GET /up HTTP/1.1\r\nHost", OW_HTTP_MORE, NULL},
    {OW_HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", OW_HTTP_DONE, "{}"},
    {OW_HTTP_RESPONSE, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204\r\n\r\n", OW_HTTP_DONE, ""},
    {OW_HTTP_RESPONSE, "HTTP/1.1 101 Switching\r\n\r\n", OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_RESPONSE, "HTTP/1.1 2x0 OK\r\n\r\n", OW_HTTP_MALFORMED, NULL},
    {OW_HTTP_RESPONSE, "nonsense\r\n", OW_HTTP_MALFORMED, NULL},
};

static enum ow_http_result feed(struct ow_http_parser *parser, const char *text, size_t size, size_t step)
{
    enum ow_http_result result = OW_HTTP_MORE;
    for (size_t offset = 0; offset < size && result == OW_HTTP_MORE; offset += step) {
        size_t used = 0;
        result = ow_http_parse(parser, text + offset, MIN(step, size - offset), &used);
        assert_true(used <= MIN(step, size - offset));
    }
    return result;
}

static void test_sample_messages_are_parsed_or_rejected(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
        const struct sample *s = &samples[i];
        size_t size = strlen(s->text);
        for (size_t step = 1; step <= size; step += size - 1) {
            struct ow_http_parser parser;
            ow_http_parser_init(&parser, s->side, 100);
            if (feed(&parser, s->text, size, step) != s->result)
                fail_msg("sample %zu in steps of %zu: %s", i, step, s->text);
            if (s->body != NULL)
                assert_string_equal(parser.body->str, s->body);
            ow_http_parser_clear(&parser);
        }
    }
}

static void test_endless_head_is_rejected(void **state)
{
    (void)state;
    struct ow_http_parser parser;
    ow_http_parser_init(&parser, OW_HTTP_REQUEST, 100);
    enum ow_http_result result = feed(&parser, "GET / HTTP/1.1\r\n", 16, 16);
    for (int i = 0; i < 100000 && result == OW_HTTP_MORE; i++)
        result = feed(&parser, "a: b\r\n", 6, 6);
    assert_int_equal(result, OW_HTTP_MALFORMED);
    ow_http_parser_clear(&parser);
}

static void test_two_messages_on_one_connection_are_both_parsed(void **state)
{
    (void)state;
    struct ow_http_parser parser;
    const char *text =
        "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /b HTTP/1.1\r\nConnection: close\r\n\r\n";
    size_t used = 0;
    ow_http_parser_init(&parser, OW_HTTP_REQUEST, 100);
    assert_int_equal(ow_http_parse(&parser, text, strlen(text), &used), OW_HTTP_DONE);
    assert_string_equal(parser.body->str, "x");
    assert_false(parser.close);
    ow_http_parser_reset(&parser);
    text += used;
    assert_int_equal(ow_http_parse(&parser, text, strlen(text), &used), OW_HTTP_DONE);
    assert_string_equal(parser.target->str, "/b");
    assert_true(parser.close);
    ow_http_parser_clear(&parser);
}

/* Fragments of valid messages in random order: any result is accepted, but the parser must stay within its
 * buffers and the body within its limit. */
static void test_random_input_stays_within_buffers(void **state)
{
    (void)state;
    static const char *fragments[] = {"GET ",      "/x",
                                      " HTTP/1.1", "\r\n",
                                      "\n",        "Content-Length: ",
                                      "9",         ": ",
                                      "chunked",   "a",
                                      "\r\n\r\n",  "Transfer-Encoding: ",
                                      "\xff\x80",  "0",
                                      ";",         "POST / HTTP/1.1\r\n"};
    GRand *rand = g_rand_new_with_seed(7);
    for (int round = 0; round < 3000; round++) {
        struct ow_http_parser parser;
        enum ow_http_result result = OW_HTTP_MORE;
        ow_http_parser_init(&parser, round % 2 == 0 ? OW_HTTP_REQUEST : OW_HTTP_RESPONSE, 100);
        for (int i = 0; i < 60 && result == OW_HTTP_MORE; i++) {
            const char *fragment = fragments[g_rand_int_range(rand, 0, G_N_ELEMENTS(fragments))];
            result = feed(&parser, fragment, strlen(fragment), 1);
            assert_true(parser.body->len <= 100);
        }
        ow_http_parser_clear(&parser);
    }
    g_rand_free(rand);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_sample_messages_are_parsed_or_rejected),
        cmocka_unit_test(test_endless_head_is_rejected),
        cmocka_unit_test(test_two_messages_on_one_connection_are_both_parsed),
        cmocka_unit_test(test_random_input_stays_within_buffers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
