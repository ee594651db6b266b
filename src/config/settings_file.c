#include "config/settings_file.h"

#include "config/number_field.h"
#include "config/toml_reader.h"

#include <stddef.h>

/* Upper bounds that only catch typing errors: an hour, and more than any platform, team or controller has. */
#define HOUR_S 3600
#define RATE_RPS_MAX 1e6
#define VALUE_KB_MAX 1e6
#define OPERATIONS_MAX 1e4
#define CORES_MAX 1024
#define MEMORY_MB_MAX 1e9
#define SOCKETS_MAX 1e7
#define TEAM_AMOUNT_MAX 1e9

/* ---- single fields ---- */

/* A string: its path, the member that owns it, and the function that reads it. */
struct text_field {
    const char *path;
    size_t offset;
    char *(*read)(struct ow_toml_reader *reader, const char *path);
};

static const struct text_field text_fields[] = {
    {"host_name", offsetof(struct ow_settings, controller_name), ow_toml_read_text},
    {"area", offsetof(struct ow_settings, zone), ow_toml_read_text},
    {"front", offsetof(struct ow_settings, http_listen), ow_toml_read_endpoint},
    {"peer_listen", offsetof(struct ow_settings, peer_listen), ow_toml_read_endpoint},
    {"services.cloud", offsetof(struct ow_settings, cloud_endpoint), ow_toml_read_endpoint},
    {"services.state", offsetof(struct ow_settings, store_endpoint), ow_toml_read_endpoint},
};

#define SECONDS(path, member, min)                                                                           \
    {                                                                                                        \
        path, offsetof(struct ow_settings, member), OW_NUMBER_DOUBLE, min, HOUR_S                            \
    }
#define DOUBLE(path, member, min, max)                                                                       \
    {                                                                                                        \
        path, offsetof(struct ow_settings, member), OW_NUMBER_DOUBLE, min, max                               \
    }
#define UNSIGNED(path, member, min, max)                                                                     \
    {                                                                                                        \
        path, offsetof(struct ow_settings, member), OW_NUMBER_UNSIGNED, min, max                             \
    }

static const struct ow_number_field number_fields[] = {
    SECONDS("params.workers.report_s", heartbeat_interval_s, 0.1),
    SECONDS("params.workers.lease_s", lease_s, 1),
    SECONDS("params.workers.gang_wait_s", gang_wait_s, 1),
    SECONDS("params.workers.gang_peer_s", gang_peer_s, 0.1),
    SECONDS("params.workers.cancel_s", cancel_s, 1),
    DOUBLE("params.state.rps", store_rps, 1, RATE_RPS_MAX),
    DOUBLE("params.state.write_rps", store_write_rps, 1, RATE_RPS_MAX),
    DOUBLE("params.state.value_kb", value_kb, 1, VALUE_KB_MAX),
    UNSIGNED("params.state.txn_ops", txn_ops, 1, OPERATIONS_MAX),
    DOUBLE("params.cloud.rps", cloud_rps, 0.1, RATE_RPS_MAX),
    SECONDS("params.cloud.list_lag_s", list_lag_s, 0),
    DOUBLE("params.quota.core_share", core_share, 0.001, CORES_MAX),
    DOUBLE("params.quota.memory_mb", memory_mb, 8, MEMORY_MB_MAX),
    UNSIGNED("params.quota.sockets", sockets, 16, SOCKETS_MAX),
};

/* Announced future limits of the key-value store. */
static const struct ow_number_field next_limit_fields[] = {
    DOUBLE("params.state.next.write_rps", next_write_rps, 1, RATE_RPS_MAX),
    DOUBLE("params.state.next.value_kb", next_value_kb, 1, VALUE_KB_MAX),
    UNSIGNED("params.state.next.txn_ops", next_txn_ops, 1, OPERATIONS_MAX),
};

#undef SECONDS
#undef DOUBLE
#undef UNSIGNED

static void read_texts(struct ow_toml_reader *reader, struct ow_settings *settings)
{
    for (size_t i = 0; i < G_N_ELEMENTS(text_fields); i++) {
        const struct text_field *field = &text_fields[i];
        G_STRUCT_MEMBER(char *, settings, field->offset) = field->read(reader, field->path);
    }
}

static void read_number(struct ow_toml_reader *reader, const struct ow_number_field *field,
                        struct ow_settings *settings)
{
    double value = ow_toml_read_number(reader, field->name, field->min, field->max);
    if (reader->error == NULL)
        ow_number_field_store(field, settings, value);
}

static void read_numbers(struct ow_toml_reader *reader, struct ow_settings *settings)
{
    for (size_t i = 0; i < G_N_ELEMENTS(number_fields); i++)
        read_number(reader, &number_fields[i], settings);
}

/* Future limits default to the current ones. */
static void read_next_limits(struct ow_toml_reader *reader, struct ow_settings *settings)
{
    settings->next_write_rps = settings->store_write_rps;
    settings->next_value_kb = settings->value_kb;
    settings->next_txn_ops = settings->txn_ops;
    for (size_t i = 0; i < G_N_ELEMENTS(next_limit_fields); i++)
        if (ow_toml_doc_kind(reader->doc, next_limit_fields[i].name) != OW_TOML_NONE)
            read_number(reader, &next_limit_fields[i], settings);
}

/* ---- lists ---- */

static char *read_item_text(struct ow_toml_reader *reader, const char *array, size_t index, const char *field)
{
    g_autofree char *path = ow_toml_path(array, index, field);
    return ow_toml_read_text(reader, path);
}

static char *read_item_endpoint(struct ow_toml_reader *reader, const char *array, size_t index,
                                const char *field)
{
    g_autofree char *path = ow_toml_path(array, index, field);
    return ow_toml_read_endpoint(reader, path);
}

static double read_item_amount(struct ow_toml_reader *reader, const char *array, size_t index,
                               const char *field)
{
    g_autofree char *path = ow_toml_path(array, index, field);
    return ow_toml_read_number(reader, path, 0, TEAM_AMOUNT_MAX);
}

static void peer_clear(void *item)
{
    struct ow_peer_settings *peer = item;
    g_free(peer->controller_name);
    g_free(peer->zone);
    g_free(peer->endpoint);
}

static GArray *read_peers(struct ow_toml_reader *reader)
{
    static const char array[] = "others";
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct ow_peer_settings));
    g_array_set_clear_func(peers, peer_clear);
    for (size_t i = 0; i < ow_toml_doc_count(reader->doc, array); i++) {
        struct ow_peer_settings peer = {0};
        peer.controller_name = read_item_text(reader, array, i, "host_name");
        peer.zone = read_item_text(reader, array, i, "area");
        peer.endpoint = read_item_endpoint(reader, array, i, "endpoint");
        g_array_append_val(peers, peer);
    }
    return peers;
}

static void team_clear(void *item)
{
    g_free(((struct ow_team_settings *)item)->name);
}

static GArray *read_teams(struct ow_toml_reader *reader)
{
    static const char array[] = "params.teams";
    GArray *teams = g_array_new(FALSE, FALSE, sizeof(struct ow_team_settings));
    g_array_set_clear_func(teams, team_clear);
    for (size_t i = 0; i < ow_toml_doc_count(reader->doc, array); i++) {
        struct ow_team_settings team = {0};
        team.name = read_item_text(reader, array, i, "name");
        team.cpus = read_item_amount(reader, array, i, "cpus");
        team.cpus_max = read_item_amount(reader, array, i, "cpus_max");
        team.gpus = read_item_amount(reader, array, i, "gpus");
        team.gpus_max = read_item_amount(reader, array, i, "gpus_max");
        g_array_append_val(teams, team);
    }
    if (teams->len == 0)
        ow_toml_reader_fail(reader, OW_CONFIG_ERROR_MISSING_FIELD, array, "is missing or empty");
    return teams;
}

static void slo_clear(void *item)
{
    g_free(((struct ow_slo *)item)->class_name);
}

static enum ow_slo_kind slo_kind_from(const char *word)
{
    if (g_strcmp0(word, "wait") == 0)
        return OW_SLO_WAIT;
    return g_strcmp0(word, "finished") == 0 ? OW_SLO_FINISHED : OW_SLO_OTHER;
}

/* Reads an SLO; false if its class or time is missing, or its kind unknown. */
static bool read_slo(const struct ow_toml_doc *doc, const char *array, size_t index, struct ow_slo *slo)
{
    g_autofree char *kind = ow_toml_path(array, index, "kind");
    g_autofree char *class_name = ow_toml_path(array, index, "class");
    g_autofree char *within = ow_toml_path(array, index, "within_s");
    g_autofree char *share = ow_toml_path(array, index, "share");
    *slo = (struct ow_slo){.kind = slo_kind_from(ow_toml_doc_string(doc, kind)),
                           .class_name = g_strdup(ow_toml_doc_string(doc, class_name))};
    ow_toml_doc_number(doc, share, &slo->share);
    return slo->class_name != NULL && ow_toml_doc_number(doc, within, &slo->within_s) &&
           slo->kind != OW_SLO_OTHER;
}

/* SLOs only guide decisions and are not binding, so an invalid one is ignored rather than an error. */
static GArray *read_slos(const struct ow_toml_doc *doc)
{
    static const char array[] = "params.objectives";
    GArray *slos = g_array_new(FALSE, TRUE, sizeof(struct ow_slo));
    g_array_set_clear_func(slos, slo_clear);
    for (size_t i = 0; i < ow_toml_doc_count(doc, array); i++) {
        struct ow_slo slo;
        if (read_slo(doc, array, i, &slo))
            g_array_append_val(slos, slo);
        else
            slo_clear(&slo);
    }
    return slos;
}

static char **read_zones(struct ow_toml_reader *reader)
{
    static const char array[] = "params.zones";
    size_t count = ow_toml_doc_count(reader->doc, array);
    char **zones = g_new0(char *, count + 1);
    for (size_t i = 0; i < count; i++) {
        g_autofree char *path = g_strdup_printf("%s[%zu]", array, i);
        zones[i] = ow_toml_read_text(reader, path);
    }
    if (count == 0)
        ow_toml_reader_fail(reader, OW_CONFIG_ERROR_MISSING_FIELD, array, "is missing or empty");
    return zones;
}

/* ---- the file ---- */

struct ow_settings *ow_settings_load(const char *path, GError **error)
{
    g_autoptr(ow_toml_doc) doc = ow_toml_doc_load(path, error);
    if (doc == NULL) {
        g_prefix_error(error, "%s: ", path);
        return NULL;
    }
    struct ow_toml_reader reader = {.doc = doc};
    g_autoptr(ow_settings) settings = g_new0(struct ow_settings, 1);
    read_texts(&reader, settings);
    settings->peers = read_peers(&reader);
    settings->teams = read_teams(&reader);
    settings->slos = read_slos(doc);
    settings->zones = read_zones(&reader);
    read_numbers(&reader, settings);
    read_next_limits(&reader, settings);
    if (reader.error != NULL) {
        g_propagate_error(error, reader.error);
        return NULL;
    }
    return g_steal_pointer(&settings);
}

void ow_settings_free(struct ow_settings *settings)
{
    if (settings == NULL)
        return;
    g_free(settings->controller_name);
    g_free(settings->zone);
    g_free(settings->http_listen);
    g_free(settings->peer_listen);
    g_free(settings->cloud_endpoint);
    g_free(settings->store_endpoint);
    g_array_free(settings->peers, TRUE);
    g_array_free(settings->teams, TRUE);
    g_array_free(settings->slos, TRUE);
    g_strfreev(settings->zones);
    g_free(settings);
}
