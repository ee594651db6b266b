/* Prints what reading a message costs: heartbeats of several sizes, a submission, a page of the machine list,
 * and hostile texts of 64 KiB. Prints figures only; it checks no bound. */
#include "model/cloud.h"
#include "model/http_status.h"
#include "model/submission.h"
#include "model/worker.h"
#include "wire/cloud_json.h"
#include "wire/submission_json.h"
#include "wire/worker_json.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Size of the largest body, and of the texts that fill it. */
enum { BODY_BYTES = 64 * 1024 };
/* Duration of one measurement. */
static const double MEASURED_S = 0.5;
static const double US_PER_S = 1e6;

static void read_heartbeat(const char *text, size_t size)
{
    ow_heartbeat_free(wire_heartbeat_decode(text, size, NULL));
}

static void read_submission(const char *text, size_t size)
{
    char id[OW_ID_MAX + 1];
    ow_submission_free(wire_submission_decode(text, size, id, NULL));
}

static void read_machine_list(const char *text, size_t size)
{
    struct ow_cloud_reply reply = {0};
    wire_cloud_reply_decode(OW_CLOUD_LIST, OW_HTTP_STATUS_OK, text, size, &reply, NULL);
    ow_cloud_reply_clear(&reply);
}

static void measure(const char *name, const char *text, void (*read)(const char *text, size_t size))
{
    g_autoptr(GTimer) timer = g_timer_new();
    size_t size = strlen(text);
    unsigned count = 0;
    for (; count == 0 || g_timer_elapsed(timer, NULL) < MEASURED_S; count++)
        read(text, size);
    double us = g_timer_elapsed(timer, NULL) * US_PER_S / count;
    printf("%-36s %6zu bytes %10.2f us %8.2f ns a byte\n", name, size, us, us * 1000 / (double)size);
}

static char *heartbeat_of(unsigned tasks)
{
    GString *text =
        g_string_new("{\"perch\":\"n-000231\",\"addr\":\"10.1.0.232:9000\",\"breed\":\"g8\",\"range\":"
                     "\"a\",\"windfall\":true,\"stint\":1,\"chirp\":88,\"crest\":41,"
                     "\"warning_s\":null,\"talons\":[");
    for (unsigned task = 0; task < tasks; task++)
        g_string_append_printf(text, "%s{\"talon\":\"run-000412/%u\",\"dive\":2,\"stance\":\"running\"}",
                               task > 0 ? "," : "", task);
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

static void measure_heartbeats(void)
{
    static const unsigned task_counts[] = {0, 2, 20, 200, 1200};
    for (size_t i = 0; i < G_N_ELEMENTS(task_counts); i++) {
        g_autofree char *text = heartbeat_of(task_counts[i]);
        g_autofree char *name = g_strdup_printf("heartbeat, %u tasks", task_counts[i]);
        measure(name, text, read_heartbeat);
    }
}

static void measure_machine_list(void)
{
    g_autoptr(GString) text = g_string_new("{\"perches\":[");
    for (unsigned i = 0; i < 500; i++)
        g_string_append_printf(
            text,
            "%s{\"ref\":\"n-%06u\",\"addr\":\"10.1.0.232:9000\",\"breed\":\"g8\",\"range\":"
            "\"a\",\"windfall\":true,\"stance\":\"running\",\"age_s\":61.5}",
            i > 0 ? "," : "", i);
    g_string_append(text, "],\"has_next\":false}");
    measure("machine list, 500 machines", text->str, read_machine_list);
}

/* Returns a heartbeat with an unknown field that fills the body with repetitions of a text (g_free). */
static char *fill_body(const char *begin, const char *repeated, const char *end)
{
    GString *text = g_string_new(NULL);
    g_autofree char *heartbeat = heartbeat_of(1);
    g_string_append_printf(text, "{\"x\":%s", begin);
    while (text->len + strlen(repeated) + strlen(end) + strlen(heartbeat) < BODY_BYTES)
        g_string_append(text, repeated);
    g_string_append_printf(text, "%s,%s", end, heartbeat + 1);
    return g_string_free(text, FALSE);
}

static void measure_hostile_texts(void)
{
    static const char *const texts[][4] = {
        {"open arrays that never end", "", "[", ""},
        {"open objects that never end", "", "{\"\":", ""},
        {"empty arrays", "[", "[],", "0]"},
        {"small numbers", "[", "0,", "0]"},
        {"one long number", "0.", "9", ""},
        {"one long exponent", "1e", "9", ""},
        {"one long known number", "0,\"warning_s\":0.", "9", ""},
        {"one long known exponent", "0,\"warning_s\":1e", "9", ""},
        {"one long known count", "0,\"crest\":1", "0", ""},
        {"members", "{", "\"a\":0,", "\"\":0}"},
        {"one long string", "\"", "a", "\""},
        {"one string of escapes", "\"", "\\u00e9", "\""},
        {"short strings of escapes", "[", "\"\\n\",", "0]"},
        {"unknown members of the message", "0", ",\"x\":0", ""},
        {"known members of another object", "0", ",\"dive\":0", ""},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_autofree char *text = fill_body(texts[i][1], texts[i][2], texts[i][3]);
        measure(texts[i][0], text, read_heartbeat);
    }
}

int main(void)
{
    measure_heartbeats();
    measure(
        "submission",
        "{\"ref\":\"run-000412\",\"flock\":\"train\",\"roost\":\"vision\",\"shape\":\"ensemble\",\"rank\":"
        "\"urgent\",\"talons\":16,\"cores\":8.0,\"gpus\":1.0,\"ram_gb\":64.0,\"plumage\":\"img-07\","
        "\"image_gb\":6.2,\"breeds\":[\"g8\"],\"range\":null,\"same_place\":true,\"scatter\":false,"
        "\"windfall\":true,\"flight_s\":240.0,\"molt_s\":30.0,\"preen_s\":4.0,\"dusk_s\":900.0}",
        read_submission);
    measure_machine_list();
    measure_hostile_texts();
    return 0;
}
