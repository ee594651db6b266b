#include "json_interfaces.h"

#include "model/http_status.h"
#include "model/records.h"
#include "model/submission.h"
#include "model/worker.h"
#include "wire/cloud_json.h"
#include "wire/json.h"
#include "wire/progress_json.h"
#include "wire/records_json.h"
#include "wire/sharding_json.h"
#include "wire/store_json.h"
#include "wire/submission_json.h"
#include "wire/worker_json.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define SUBMISSION_FIELDS                                                                                    \
    "\"ref\":\"run-412\",\"flock\":\"train\",\"roost\":\"vision\",\"shape\":\"ensemble\","                   \
    "\"rank\":\"urgent\",\"talons\":16,\"cores\":8.0,\"gpus\":1,\"ram_gb\":64.5,\"plumage\":\"img-07\","     \
    "\"image_gb\":6.2,\"breeds\":[\"g8\",\"m8\"],\"range\":\"a\",\"same_place\":true,\"scatter\":false,"     \
    "\"windfall\":true,\"flight_s\":240.0,\"molt_s\":30.0,\"preen_s\":4.0,\"dusk_s\":900.0"

/* ---- users ---- */

static char *submission_to_text(const struct ow_submission *submission)
{
    return wire_json_print_and_unref(wire_submission_to_json(submission));
}

static char *read_submission(const char *text, size_t size)
{
    char id[OW_ID_MAX + 1];
    g_autoptr(ow_submission) submission = wire_submission_decode(text, size, id, NULL);
    return submission != NULL ? submission_to_text(submission) : NULL;
}

/* ---- agents ---- */

static char *read_description(const char *text, size_t size)
{
    g_autoptr(wire_job_description) description = wire_job_description_decode(text, size);
    if (description == NULL)
        return NULL;
    g_autofree char *submission = submission_to_text(description->submission);
    g_autofree char *command = g_strjoinv(" ", description->command);
    return g_strconcat(submission, command, NULL);
}

static char *read_heartbeat(const char *text, size_t size)
{
    g_autoptr(ow_heartbeat) heartbeat = wire_heartbeat_decode(text, size);
    return heartbeat != NULL ? wire_heartbeat_encode(heartbeat) : NULL;
}

static char *read_commands(const char *text, size_t size)
{
    g_autoptr(wire_command_batch) batch = wire_worker_commands_decode(text, size);
    if (batch == NULL)
        return NULL;
    g_autofree char *commands =
        wire_direct_commands_encode(batch->fencing_token, batch->incarnation, batch->commands);
    return g_strdup_printf("%s %d %d", commands, batch->has_fencing_token, batch->has_incarnation);
}

static char *read_redirect(const char *text, size_t size)
{
    return wire_redirect_decode(text, size);
}

/* ---- the cloud ---- */

static void append_listed_machine(GString *result, const struct ow_listed_machine *machine)
{
    g_string_append_printf(result, "%s %s %s %s %d %d %.17g;", machine->name, machine->addr, machine->type,
                           machine->zone, machine->spot, (int)machine->state, machine->age_s);
}

static char *cloud_reply_to_text(const struct ow_cloud_reply *reply)
{
    if (reply->types != NULL)
        return wire_machine_types_encode(reply->types);
    if (reply->provisioned != NULL)
        return g_strjoinv(" ", reply->provisioned);
    if (reply->listed == NULL)
        return NULL;
    GString *result = g_string_new(reply->has_more ? "more " : "");
    for (guint i = 0; i < reply->listed->len; i++)
        append_listed_machine(result, &g_array_index(reply->listed, struct ow_listed_machine, i));
    return g_string_free(result, FALSE);
}

static char *read_cloud_reply(enum ow_cloud_op op, const char *text, size_t size)
{
    struct ow_cloud_reply reply = {0};
    wire_cloud_reply_decode(op, OW_HTTP_STATUS_OK, text, size, &reply);
    char *read = cloud_reply_to_text(&reply);
    ow_cloud_reply_clear(&reply);
    return read;
}

static char *read_cloud_types(const char *text, size_t size)
{
    return read_cloud_reply(OW_CLOUD_TYPES, text, size);
}

static char *read_cloud_list(const char *text, size_t size)
{
    return read_cloud_reply(OW_CLOUD_LIST, text, size);
}

static char *read_cloud_machines(const char *text, size_t size)
{
    return read_cloud_reply(OW_CLOUD_PROVISION, text, size);
}

/* ---- the key-value store, and what is stored ---- */

static void append_job_record(GString *result, const struct json_t *value)
{
    struct ow_job_record record;
    bool is_complete = wire_job_record_decode(value, &record);
    g_autofree char *text = wire_job_record_encode(&record);
    g_string_append_printf(result, "%d %s", is_complete, text);
    ow_submission_free(record.submission);
}

static void append_progress_record(GString *result, const struct json_t *value)
{
    struct ow_progress_record record;
    bool is_complete = wire_progress_record_decode(value, &record);
    g_autofree char *text = wire_progress_record_encode(&record);
    g_string_append_printf(result, "%d %s", is_complete, text);
    wire_progress_record_clear(&record);
}

static void append_leader_record(GString *result, const struct json_t *value)
{
    const char *controller = NULL;
    const char *nonce = NULL;
    wire_leader_record_decode(value, &controller, &nonce);
    g_string_append_printf(result, "%s %s", controller, nonce);
}

static void append_machine_types(GString *result, const struct json_t *value)
{
    g_autoptr(GArray) types = wire_machine_types_from_json(value);
    g_autofree char *text = types != NULL ? wire_machine_types_encode(types) : NULL;
    g_string_append(result, text != NULL ? text : "no types");
}

static void append_shard_map(GString *result, const struct json_t *value)
{
    g_autoptr(GHashTable) map = wire_shard_map_from_json(value);
    g_autofree char *text = map != NULL ? wire_shard_map_encode(map) : NULL;
    g_string_append(result, text != NULL ? text : "no map");
}

static void append_format(GString *result, const struct json_t *value)
{
    g_string_append_printf(result, "%u", wire_format_record_decode(value));
}

static const struct {
    const char *prefix;
    void (*append)(GString *result, const struct json_t *value);
} stored_values[] = {
    {"job/", append_job_record},      {"progress/", append_progress_record},
    {"leader", append_leader_record}, {"types", append_machine_types},
    {"map", append_shard_map},        {"format", append_format},
};

static void append_item(GString *result, const struct ow_store_item *item)
{
    g_string_append_printf(result, "\n%s@%" PRIu64 " ", item->key, item->mod_revision);
    for (size_t i = 0; i < G_N_ELEMENTS(stored_values); i++)
        if (item->value != NULL && g_str_has_prefix(item->key, stored_values[i].prefix))
            stored_values[i].append(result, item->value);
}

static char *read_store_reply(enum ow_store_op op, int status, const char *text, size_t size)
{
    struct ow_store_reply reply = {0};
    wire_store_reply_decode(op, status, text, size, &reply);
    g_autofree char *failed = reply.failed_keys != NULL ? g_strjoinv(" ", reply.failed_keys) : NULL;
    GString *result = g_string_new(NULL);
    g_string_append_printf(result, "%d %" PRIu64 " %" PRIu64 " %d %s", reply.status, reply.revision,
                           reply.lease, reply.has_more, failed != NULL ? failed : "");
    for (guint i = 0; i < reply.items->len; i++)
        append_item(result, &g_array_index(reply.items, struct ow_store_item, i));
    bool is_refused = reply.status == OW_HTTP_STATUS_NONE;
    ow_store_reply_clear(&reply);
    return g_string_free(result, is_refused);
}

static char *read_key(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_GET, OW_HTTP_STATUS_OK, text, size);
}

static char *read_key_list(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_LIST, OW_HTTP_STATUS_OK, text, size);
}

static char *read_watch(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_WATCH, OW_HTTP_STATUS_OK, text, size);
}

static char *read_transaction(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_TXN, OW_HTTP_STATUS_OK, text, size);
}

static char *read_conflict(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_TXN, OW_HTTP_STATUS_CONFLICT, text, size);
}

static char *read_missing_key(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_GET, OW_HTTP_STATUS_NOT_FOUND, text, size);
}

static char *read_lease(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_GRANT_LEASE, OW_HTTP_STATUS_OK, text, size);
}

/* ---- all interfaces ---- */

const struct json_interface json_interfaces[] = {
    {.name = "submission", .message = "{" SUBMISSION_FIELDS "}", .read = read_submission},
    {.name = "description",
     .message = "{" SUBMISSION_FIELDS ",\"command\":[\"/bin/true\",\"one\"]}",
     .read = read_description},
    {.name = "heartbeat",
     .message = "{\"perch\":\"n-231\",\"addr\":\"10.1.0.232:9000\",\"breed\":\"g8\",\"range\":\"a\","
                "\"windfall\":true,\"stint\":1,\"chirp\":88,\"crest\":41,\"warning_s\":7.5,\"talons\":["
                "{\"talon\":\"run-412/3\",\"dive\":2,\"stance\":\"running\"},"
                "{\"talon\":\"run-398/0\",\"dive\":1,\"stance\":\"exited\",\"cause\":\"halted\","
                "\"saved\":true}]}",
     .read = read_heartbeat},
    {.name = "commands",
     .message = "{\"crest\":41,\"stint\":3,\"calls\":["
                "{\"call\":\"launch\",\"talon\":\"run-412/4\",\"dive\":2},"
                "{\"call\":\"stop\",\"talon\":\"run-377/1\",\"dive\":1,\"glide_s\":10.5}]}",
     .read = read_commands},
    {.name = "redirect", .message = "{\"eyrie\":\"perch-2\"}", .read = read_redirect},
    {.name = "machine types",
     .message = "{\"breeds\":[{\"name\":\"g8\",\"cores\":96,\"gpus\":8,\"ram_gb\":768,\"cache_gb\":200,"
                "\"pull_gb_per_s\":1.5,\"hourly\":12.0,\"low_price\":4.5,\"boot_s\":45,"
                "\"ranges\":[\"a\",\"b\"]}]}",
     .read = read_cloud_types},
    {.name = "machine list",
     .message = "{\"perches\":[{\"ref\":\"n-231\",\"addr\":\"10.1.0.232:9000\",\"breed\":\"g8\","
                "\"range\":\"a\",\"windfall\":true,\"stance\":\"running\",\"age_s\":61.5}],"
                "\"has_next\":true}",
     .read = read_cloud_list},
    {.name = "new machines", .message = "{\"perches\":[\"n-231\",\"n-232\"]}", .read = read_cloud_machines},
    {.name = "leader key",
     .message = "{\"k\":\"leader\",\"value\":{\"node\":\"perch-1\",\"nonce\":\"0123\"},\"mark\":412,"
                "\"tether\":7}",
     .read = read_key},
    {.name = "key list",
     .message = "{\"pairs\":[{\"k\":\"job/1\",\"value\":{\"e\":3,\"s\":{" SUBMISSION_FIELDS "},"
                "\"t\":1700001000,\"c\":42},\"mark\":9},{\"k\":\"types\",\"value\":{\"breeds\":[{"
                "\"name\":\"big\",\"cores\":16.0,\"gpus\":0.0,\"ram_gb\":64.0,\"cache_gb\":100.0,"
                "\"pull_gb_per_s\":1.0,\"hourly\":2.0,\"low_price\":1.0,\"boot_s\":5.0,"
                "\"ranges\":[\"east\",\"west\"]}]},\"mark\":3},"
                "{\"k\":\"format\",\"value\":{\"v\":2},\"mark\":4}],\"has_next\":true,\"tide\":431}",
     .read = read_key_list},
    {.name = "progress list",
     .message = "{\"pairs\":[{\"k\":\"progress/0\",\"value\":"
                "{\"a\":4,\"d\":\"0-2,4\",\"l\":{\"m-0 1\":\"3@4\",\"m-1 2\":\"10@4,24@3\"}},"
                "\"mark\":9}],\"has_next\":false,\"tide\":431}",
     .read = read_key_list,
     .maps = 1u << 3},
    {.name = "map list",
     .message = "{\"pairs\":[{\"k\":\"map\",\"value\":{\"v\":1,\"values\":{\"north\":\"a b\"}},"
                "\"mark\":9}],\"has_next\":false,\"tide\":431}",
     .read = read_key_list,
     .maps = 1u << 3},
    {.name = "watch",
     .message = "{\"tide\":433,\"log\":[{\"write\":\"job/9\",\"value\":{\"e\":2},\"mark\":433},"
                "{\"drop\":\"job/8\",\"mark\":432}]}",
     .read = read_watch},
    {.name = "transaction", .message = "{\"tide\":432}", .read = read_transaction},
    {.name = "conflict", .message = "{\"failed\":[\"a/b\",\"c\"],\"tide\":431}", .read = read_conflict},
    {.name = "missing key", .message = "{\"tide\":431}", .read = read_missing_key},
    {.name = "lease", .message = "{\"tether\":7}", .read = read_lease},
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
