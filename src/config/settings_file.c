#include "config/settings_file.h"

#include "config/toml_doc.h"
#include "util/endpoint.h"

#include <math.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* More than any team has. */
static const double AMOUNT_MAX = 1e9;
/* The largest values that are accepted: an hour, and more than any service or controller has. */
static const double HOUR_S = 3600, RATE_MAX = 1e6, VALUE_KB_MAX = 1e6, OPERATIONS_MAX = 1e4;
static const double CORES_MAX = 1024, MEMORY_MB_MAX = 1e9, SOCKETS_MAX = 1e7;

/* Reads until the first fault, which it keeps. */
struct reader {
    const struct toml_doc *doc;
    char *fault;
};

static void fail(struct reader *reader, const char *path, const char *what)
{
    if (reader->fault == NULL)
        reader->fault = g_strdup_printf("%s: %s", path, what);
}

static char *path_of(const char *array, size_t index, const char *field)
{
    return g_strdup_printf("%s[%zu].%s", array, index, field);
}

static char *text(struct reader *reader, const char *path)
{
    const char *value = toml_doc_string(reader->doc, path);
    if (value == NULL)
        fail(reader, path, toml_doc_kind(reader->doc, path) == TOML_NONE ? "is missing" : "is not a string");
    else if (*value == '\0')
        fail(reader, path, "is empty");
    return g_strdup(value != NULL ? value : "");
}

static char *endpoint(struct reader *reader, const char *path)
{
    char *value = text(reader, path);
    if (reader->fault == NULL && !ow_endpoint_is_valid(value))
        fail(reader, path, "is not an address with a port");
    return value;
}

static double number(struct reader *reader, const char *path, double least, double most)
{
    double value = 0;
    if (!toml_doc_number(reader->doc, path, &value))
        fail(reader, path, toml_doc_kind(reader->doc, path) == TOML_NONE ? "is missing" : "is not a number");
    else if (!isfinite(value) || value < least || value > most)
        fail(reader, path, "is out of range");
    return value;
}

static char *text_in(struct reader *reader, const char *array, size_t index, const char *field)
{
    char *path = path_of(array, index, field);
    char *value = text(reader, path);
    g_free(path);
    return value;
}

static double number_in(struct reader *reader, const char *array, size_t index, const char *field)
{
    char *path = path_of(array, index, field);
    double value = number(reader, path, 0, AMOUNT_MAX);
    g_free(path);
    return value;
}

static void peer_clear(void *item)
{
    struct ow_peer_settings *peer = item;
    g_free(peer->node);
    g_free(peer->zone);
    g_free(peer->endpoint);
}

static GArray *read_peers(struct reader *reader)
{
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct ow_peer_settings));
    g_array_set_clear_func(peers, peer_clear);
    for (size_t i = 0; i < toml_doc_count(reader->doc, "others"); i++) {
        char *path = path_of("others", i, "endpoint");
        struct ow_peer_settings p = {text_in(reader, "others", i, "host_name"),
                                     text_in(reader, "others", i, "area"), endpoint(reader, path)};
        g_free(path);
        g_array_append_val(peers, p);
    }
    return peers;
}

static void team_clear(void *item)
{
    g_free(((struct ow_team_settings *)item)->name);
}

static GArray *read_teams(struct reader *reader)
{
    const char *array = "params.teams";
    GArray *teams = g_array_new(FALSE, FALSE, sizeof(struct ow_team_settings));
    g_array_set_clear_func(teams, team_clear);
    for (size_t i = 0; i < toml_doc_count(reader->doc, array); i++) {
        struct ow_team_settings t = {text_in(reader, array, i, "name"), number_in(reader, array, i, "cpus"),
                                     number_in(reader, array, i, "cpus_max"),
                                     number_in(reader, array, i, "gpus"),
                                     number_in(reader, array, i, "gpus_max")};
        g_array_append_val(teams, t);
    }
    if (teams->len == 0)
        fail(reader, array, "is missing or empty");
    return teams;
}

static void slo_clear(void *item)
{
    g_free(((struct ow_slo *)item)->class_name);
}

static enum ow_slo_kind slo_kind(const char *word)
{
    if (g_strcmp0(word, "wait") == 0)
        return OW_SLO_WAIT;
    return g_strcmp0(word, "finished") == 0 ? OW_SLO_FINISHED : OW_SLO_OTHER;
}

/* Objectives only guide; one that is not understood is passed over. */
static GArray *read_slos(struct reader *reader)
{
    const char *array = "params.objectives";
    GArray *slos = g_array_new(FALSE, TRUE, sizeof(struct ow_slo));
    g_array_set_clear_func(slos, slo_clear);
    for (size_t i = 0; i < toml_doc_count(reader->doc, array); i++) {
        struct ow_slo o = {0};
        char *kind = path_of(array, i, "kind"), *name = path_of(array, i, "class");
        char *within = path_of(array, i, "within_s"), *share = path_of(array, i, "share");
        o.kind = slo_kind(toml_doc_string(reader->doc, kind));
        o.class_name = g_strdup(toml_doc_string(reader->doc, name));
        toml_doc_number(reader->doc, share, &o.share);
        if (o.class_name != NULL && toml_doc_number(reader->doc, within, &o.within_s) &&
            o.kind != OW_SLO_OTHER)
            g_array_append_val(slos, o);
        else
            g_free(o.class_name);
        g_free(kind);
        g_free(name);
        g_free(within);
        g_free(share);
    }
    return slos;
}

static char **read_zones(struct reader *reader)
{
    size_t count = toml_doc_count(reader->doc, "params.zones");
    char **zones = g_new0(char *, count + 1);
    for (size_t i = 0; i < count; i++) {
        char *path = g_strdup_printf("params.zones[%zu]", i);
        zones[i] = text(reader, path);
        g_free(path);
    }
    if (count == 0)
        fail(reader, "params.zones", "is missing or empty");
    return zones;
}

static double number_or(struct reader *reader, const char *path, double least, double most, double otherwise)
{
    return toml_doc_kind(reader->doc, path) == TOML_NONE ? otherwise : number(reader, path, least, most);
}

/* Limits of the key-value store that will apply later; those of now where nothing is said. */
static void read_coming_limits(struct reader *reader, struct ow_settings *settings)
{
    settings->next_write_rps =
        number_or(reader, "params.state.next.write_rps", 1, RATE_MAX, settings->store_write_rps);
    settings->next_value_kb =
        number_or(reader, "params.state.next.value_kb", 1, VALUE_KB_MAX, settings->value_kb);
    settings->next_txn_ops =
        (unsigned)number_or(reader, "params.state.next.txn_ops", 1, OPERATIONS_MAX, settings->txn_ops);
}

static void read_bounds(struct reader *reader, struct ow_settings *settings)
{
    settings->heartbeat_interval_s = number(reader, "params.workers.report_s", 0.1, HOUR_S);
    settings->lease_s = number(reader, "params.workers.lease_s", 1, HOUR_S);
    settings->gang_wait_s = number(reader, "params.workers.gang_wait_s", 1, HOUR_S);
    settings->gang_peer_s = number(reader, "params.workers.gang_peer_s", 0.1, HOUR_S);
    settings->cancel_s = number(reader, "params.workers.cancel_s", 1, HOUR_S);
    settings->store_rps = number(reader, "params.state.rps", 1, RATE_MAX);
    settings->store_write_rps = number(reader, "params.state.write_rps", 1, RATE_MAX);
    settings->value_kb = number(reader, "params.state.value_kb", 1, VALUE_KB_MAX);
    settings->txn_ops = (unsigned)number(reader, "params.state.txn_ops", 1, OPERATIONS_MAX);
    settings->cloud_rps = number(reader, "params.cloud.rps", 0.1, RATE_MAX);
    settings->list_lag_s = number(reader, "params.cloud.list_lag_s", 0, HOUR_S);
    settings->core_share = number(reader, "params.quota.core_share", 0.001, CORES_MAX);
    settings->memory_mb = number(reader, "params.quota.memory_mb", 8, MEMORY_MB_MAX);
    settings->sockets = (unsigned)number(reader, "params.quota.sockets", 16, SOCKETS_MAX);
}

struct ow_settings *ow_settings_load(const char *path, char **fault)
{
    char *unread = NULL;
    struct toml_doc *doc = toml_doc_load(path, &unread);
    if (doc == NULL) {
        *fault = g_strdup_printf("%s: %s", path, unread);
        free(unread);
        return NULL;
    }
    struct reader reader = {doc, NULL};
    struct ow_settings *settings = g_new0(struct ow_settings, 1);
    settings->controller_name = text(&reader, "host_name");
    settings->zone = text(&reader, "area");
    settings->front = endpoint(&reader, "front");
    settings->peer_listen = endpoint(&reader, "peer_listen");
    settings->cloud_endpoint = endpoint(&reader, "services.cloud");
    settings->store_endpoint = endpoint(&reader, "services.state");
    settings->peers = read_peers(&reader);
    settings->teams = read_teams(&reader);
    settings->slos = read_slos(&reader);
    settings->zones = read_zones(&reader);
    read_bounds(&reader, settings);
    read_coming_limits(&reader, settings);
    toml_doc_free(doc);
    if (reader.fault == NULL)
        return settings;
    *fault = reader.fault;
    ow_settings_free(settings);
    return NULL;
}

void ow_settings_free(struct ow_settings *settings)
{
    if (settings == NULL)
        return;
    g_free(settings->controller_name);
    g_free(settings->zone);
    g_free(settings->front);
    g_free(settings->peer_listen);
    g_free(settings->cloud_endpoint);
    g_free(settings->store_endpoint);
    g_array_free(settings->peers, TRUE);
    g_array_free(settings->teams, TRUE);
    g_array_free(settings->slos, TRUE);
    g_strfreev(settings->zones);
    g_free(settings);
}
