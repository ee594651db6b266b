#include "json_interfaces.h"

#include "json_interface_readers.h"

#include <glib.h>
#include <string.h>

#define SUBMISSION_FIELDS                                                                                    \
    "\"ref\":\"run-412\",\"flock\":\"train\",\"roost\":\"vision\",\"shape\":\"ensemble\","                   \
    "\"rank\":\"urgent\",\"talons\":16,\"cores\":8.0,\"gpus\":1,\"ram_gb\":64.5,\"plumage\":\"img-07\","     \
    "\"image_gb\":6.2,\"breeds\":[\"g8\",\"m8\"],\"range\":\"a\",\"same_place\":true,\"scatter\":false,"     \
    "\"windfall\":true,\"flight_s\":240.0,\"molt_s\":30.0,\"preen_s\":4.0,\"dusk_s\":900.0"

/* ---- all interfaces ---- */

const struct json_interface json_interfaces[] = {
    {.name = "submission", .message = "{" SUBMISSION_FIELDS "}", .read = json_read_submission},
    {.name = "description",
     .message = "{" SUBMISSION_FIELDS ",\"command\":[\"/bin/true\",\"one\"]}",
     .read = json_read_description},
    {.name = "heartbeat",
     .message = "{\"perch\":\"n-231\",\"addr\":\"10.1.0.232:9000\",\"breed\":\"g8\",\"range\":\"a\","
                "\"windfall\":true,\"stint\":1,\"chirp\":88,\"crest\":41,\"warning_s\":7.5,\"talons\":["
                "{\"talon\":\"run-412/3\",\"dive\":2,\"stance\":\"running\"},"
                "{\"talon\":\"run-398/0\",\"dive\":1,\"stance\":\"exited\",\"cause\":\"halted\","
                "\"saved\":true}]}",
     .read = json_read_heartbeat},
    {.name = "commands",
     .message = "{\"crest\":41,\"stint\":3,\"calls\":["
                "{\"call\":\"launch\",\"talon\":\"run-412/4\",\"dive\":2},"
                "{\"call\":\"stop\",\"talon\":\"run-377/1\",\"dive\":1,\"glide_s\":10.5}]}",
     .read = json_read_commands},
    {.name = "redirect", .message = "{\"eyrie\":\"perch-2\"}", .read = json_read_redirect},
    {.name = "machine types",
     .message = "{\"breeds\":[{\"name\":\"g8\",\"cores\":96,\"gpus\":8,\"ram_gb\":768,\"cache_gb\":200,"
                "\"pull_gb_per_s\":1.5,\"hourly\":12.0,\"low_price\":4.5,\"boot_s\":45,"
                "\"ranges\":[\"a\",\"b\"]}]}",
     .read = json_read_cloud_types},
    {.name = "machine list",
     .message = "{\"perches\":[{\"ref\":\"n-231\",\"addr\":\"10.1.0.232:9000\",\"breed\":\"g8\","
                "\"range\":\"a\",\"windfall\":true,\"stance\":\"running\",\"age_s\":61.5}],"
                "\"has_next\":true}",
     .read = json_read_cloud_list},
    {.name = "new machines",
     .message = "{\"perches\":[\"n-231\",\"n-232\"]}",
     .read = json_read_cloud_machines},
    {.name = "leader key",
     .message = "{\"k\":\"leader\",\"value\":{\"node\":\"perch-1\",\"nonce\":\"0123\"},\"mark\":412,"
                "\"tether\":7}",
     .read = json_read_key},
    {.name = "key list",
     .message = "{\"pairs\":[{\"k\":\"job/1\",\"value\":{\"e\":3,\"s\":{" SUBMISSION_FIELDS "},"
                "\"t\":1700001000,\"c\":42},\"mark\":9},{\"k\":\"types\",\"value\":{\"breeds\":[{"
                "\"name\":\"big\",\"cores\":16.0,\"gpus\":0.0,\"ram_gb\":64.0,\"cache_gb\":100.0,"
                "\"pull_gb_per_s\":1.0,\"hourly\":2.0,\"low_price\":1.0,\"boot_s\":5.0,"
                "\"ranges\":[\"east\",\"west\"]}]},\"mark\":3},"
                "{\"k\":\"format\",\"value\":{\"v\":2},\"mark\":4}],\"has_next\":true,\"tide\":431}",
     .read = json_read_key_list},
    {.name = "progress list",
     .message = "{\"pairs\":[{\"k\":\"progress/0\",\"value\":"
                "{\"a\":4,\"d\":\"0-2,4\",\"l\":{\"m-0 1\":\"3@4\",\"m-1 2\":\"10@4,24@3\"}},"
                "\"mark\":9}],\"has_next\":false,\"tide\":431}",
     .read = json_read_key_list,
     .maps = 1u << 3},
    {.name = "map list",
     .message = "{\"pairs\":[{\"k\":\"map\",\"value\":{\"v\":1,\"values\":{\"north\":\"a b\"}},"
                "\"mark\":9}],\"has_next\":false,\"tide\":431}",
     .read = json_read_key_list,
     .maps = 1u << 3},
    {.name = "watch",
     .message = "{\"tide\":433,\"log\":[{\"write\":\"job/9\",\"value\":{\"e\":2},\"mark\":433},"
                "{\"drop\":\"job/8\",\"mark\":432}]}",
     .read = json_read_watch},
    {.name = "transaction", .message = "{\"tide\":432}", .read = json_read_transaction},
    {.name = "conflict", .message = "{\"failed\":[\"a/b\",\"c\"]}", .read = json_read_conflict},
    {.name = "missing key", .message = "{\"tide\":431}", .read = json_read_missing_key},
    {.name = "lease", .message = "{\"tether\":7}", .read = json_read_lease},
};

const size_t json_interfaces_count = G_N_ELEMENTS(json_interfaces);

const struct json_interface *json_interface_find(const char *name)
{
    for (size_t i = 0; i < json_interfaces_count; i++)
        if (strcmp(json_interfaces[i].name, name) == 0)
            return &json_interfaces[i];
    g_error("no such interface: %s", name);
}

/* Returns the text after the opening brace of an object with fields, or NULL if there are fewer. */
static const char *find_place(const struct json_interface *interface, size_t place)
{
    unsigned object = 0;
    for (const char *i = strchr(interface->message, '{'); i != NULL; i = strchr(i + 1, '{'), object++) {
        bool has_fields = (interface->maps >> object & 1) == 0;
        if (has_fields && place-- == 0)
            return i + 1;
    }
    return NULL;
}

size_t json_interface_places(const struct json_interface *interface)
{
    size_t places = 0;
    while (find_place(interface, places) != NULL)
        places++;
    return places;
}

char *json_interface_insert(const struct json_interface *interface, size_t place, const char *member)
{
    const char *rest = find_place(interface, place);
    return g_strdup_printf("%.*s%s,%s", (int)(rest - interface->message), interface->message, member, rest);
}
