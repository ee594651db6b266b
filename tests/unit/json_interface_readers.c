#include "json_interface_readers.h"

#include "model/http_status.h"
#include "model/records.h"
#include "model/submission.h"
#include "model/worker.h"
#include "wire/cloud_json.h"
#include "wire/description_json.h"
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

/* ---- users ---- */

static char *submission_to_text(const struct ow_submission *submission)
{
    return wire_json_print_and_unref(wire_submission_to_json(submission));
}

char *json_read_submission(const char *text, size_t size)
{
    char id[OW_ID_MAX + 1];
    g_autoptr(ow_submission) submission = wire_submission_decode(text, size, id, NULL);
    return submission != NULL ? submission_to_text(submission) : NULL;
}

/* ---- agents ---- */

char *json_read_description(const char *text, size_t size)
{
    g_autoptr(wire_job_description) description = wire_job_description_decode(text, size);
    if (description == NULL)
        return NULL;
    g_autofree char *submission = submission_to_text(description->submission);
    g_autofree char *command = g_strjoinv(" ", description->command);
    return g_strconcat(submission, command, NULL);
}

char *json_read_heartbeat(const char *text, size_t size)
{
    g_autoptr(ow_heartbeat) heartbeat = wire_heartbeat_decode(text, size, NULL);
    return heartbeat != NULL ? wire_heartbeat_encode(heartbeat) : NULL;
}

char *json_read_commands(const char *text, size_t size)
{
    g_autoptr(wire_command_batch) batch = wire_worker_commands_decode(text, size);
    if (batch == NULL)
        return NULL;
    g_autofree char *commands =
        wire_direct_commands_encode(batch->fencing_token, batch->incarnation, batch->commands);
    return g_strdup_printf("%s %d %d", commands, batch->has_fencing_token, batch->has_incarnation);
}

char *json_read_redirect(const char *text, size_t size)
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
    wire_cloud_reply_decode(op, OW_HTTP_STATUS_OK, text, size, &reply, NULL);
    char *read = cloud_reply_to_text(&reply);
    ow_cloud_reply_clear(&reply);
    return read;
}

char *json_read_cloud_types(const char *text, size_t size)
{
    return read_cloud_reply(OW_CLOUD_TYPES, text, size);
}

char *json_read_cloud_list(const char *text, size_t size)
{
    return read_cloud_reply(OW_CLOUD_LIST, text, size);
}

char *json_read_cloud_machines(const char *text, size_t size)
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
    wire_store_reply_decode(op, status, text, size, &reply, NULL);
    g_autofree char *failed = reply.failed_keys != NULL ? g_strjoinv(" ", reply.failed_keys) : NULL;
    GString *result = g_string_new(NULL);
    g_string_append_printf(result, "%d %" PRIu64 " %" PRIu64 " %d %s", reply.status, reply.revision,
                           reply.lease, reply.has_more, failed != NULL ? failed : "");
    for (guint i = 0; i < reply.items->len; i++)
        append_item(result, &g_array_index(reply.items, struct ow_store_item, i));
    /* A body that can't be read leaves the status of a failed request as it is, but nothing else. */
    bool is_refused = reply.status == OW_HTTP_STATUS_NONE ||
                      (status != OW_HTTP_STATUS_OK && reply.failed_keys == NULL && reply.revision == 0);
    ow_store_reply_clear(&reply);
    return g_string_free(result, is_refused);
}

char *json_read_key(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_GET, OW_HTTP_STATUS_OK, text, size);
}

char *json_read_key_list(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_LIST, OW_HTTP_STATUS_OK, text, size);
}

char *json_read_watch(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_WATCH, OW_HTTP_STATUS_OK, text, size);
}

char *json_read_transaction(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_TXN, OW_HTTP_STATUS_OK, text, size);
}

char *json_read_conflict(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_TXN, OW_HTTP_STATUS_CONFLICT, text, size);
}

char *json_read_missing_key(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_GET, OW_HTTP_STATUS_NOT_FOUND, text, size);
}

char *json_read_lease(const char *text, size_t size)
{
    return read_store_reply(OW_STORE_GRANT_LEASE, OW_HTTP_STATUS_OK, text, size);
}
