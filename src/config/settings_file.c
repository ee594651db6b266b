#include "config/settings_file.h"

#include "config/toml_doc.h"
#include "io/net.h"

#include <math.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Reads until the first fault, which it keeps. */
struct reader {
    const struct toml_doc *doc;
    char *fault;
};

static void fail(struct reader *r, const char *path, const char *what)
{
    if (r->fault == NULL)
        r->fault = g_strdup_printf("%s: %s", path, what);
}

static char *path_of(const char *array, size_t index, const char *field)
{
    return g_strdup_printf("%s[%zu].%s", array, index, field);
}

static char *text(struct reader *r, const char *path)
{
    const char *value = toml_doc_string(r->doc, path);
    if (value == NULL)
        fail(r, path, toml_doc_kind(r->doc, path) == TOML_NONE ? "is missing" : "is not a string");
    else if (*value == '\0')
        fail(r, path, "is empty");
    return g_strdup(value != NULL ? value : "");
}

static char *endpoint(struct reader *r, const char *path)
{
    char *value = text(r, path);
    if (r->fault == NULL && !ow_net_endpoint_valid(value))
        fail(r, path, "is not an address with a port");
    return value;
}

static double number(struct reader *r, const char *path, double least, double most)
{
    double value = 0;
    if (!toml_doc_number(r->doc, path, &value))
        fail(r, path, toml_doc_kind(r->doc, path) == TOML_NONE ? "is missing" : "is not a number");
    else if (!isfinite(value) || value < least || value > most)
        fail(r, path, "is out of range");
    return value;
}

static char *text_in(struct reader *r, const char *array, size_t index, const char *field)
{
    char *path = path_of(array, index, field);
    char *value = text(r, path);
    g_free(path);
    return value;
}

static double number_in(struct reader *r, const char *array, size_t index, const char *field)
{
    char *path = path_of(array, index, field);
    double value = number(r, path, 0, 1e9);
    g_free(path);
    return value;
}

static void peer_clear(void *item)
{
    struct ow_peer_settings *p = item;
    g_free(p->node);
    g_free(p->zone);
    g_free(p->endpoint);
}

static GArray *read_peers(struct reader *r)
{
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct ow_peer_settings));
    g_array_set_clear_func(peers, peer_clear);
    for (size_t i = 0; i < toml_doc_count(r->doc, "others"); i++) {
        char *path = path_of("others", i, "endpoint");
        struct ow_peer_settings p = {text_in(r, "others", i, "host_name"), text_in(r, "others", i, "area"),
                                     endpoint(r, path)};
        g_free(path);
        g_array_append_val(peers, p);
    }
    return peers;
}

static void team_clear(void *item)
{
    g_free(((struct ow_team_settings *)item)->name);
}

static GArray *read_teams(struct reader *r)
{
    const char *array = "params.teams";
    GArray *teams = g_array_new(FALSE, FALSE, sizeof(struct ow_team_settings));
    g_array_set_clear_func(teams, team_clear);
    for (size_t i = 0; i < toml_doc_count(r->doc, array); i++) {
        struct ow_team_settings t = {text_in(r, array, i, "name"), number_in(r, array, i, "cpus"),
                                     number_in(r, array, i, "cpus_max"), number_in(r, array, i, "gpus"),
                                     number_in(r, array, i, "gpus_max")};
        g_array_append_val(teams, t);
    }
    if (teams->len == 0)
        fail(r, array, "is missing or empty");
    return teams;
}

static void objective_clear(void *item)
{
    g_free(((struct ow_objective *)item)->class_name);
}

static enum ow_objective_kind objective_kind(const char *word)
{
    if (g_strcmp0(word, "wait") == 0)
        return OW_OBJECTIVE_WAIT;
    return g_strcmp0(word, "finished") == 0 ? OW_OBJECTIVE_FINISHED : OW_OBJECTIVE_OTHER;
}

/* Objectives only guide; one that is not understood is passed over. */
static GArray *read_objectives(struct reader *r)
{
    const char *array = "params.objectives";
    GArray *objectives = g_array_new(FALSE, TRUE, sizeof(struct ow_objective));
    g_array_set_clear_func(objectives, objective_clear);
    for (size_t i = 0; i < toml_doc_count(r->doc, array); i++) {
        struct ow_objective o = {0};
        char *kind = path_of(array, i, "kind"), *name = path_of(array, i, "class");
        char *within = path_of(array, i, "within_s"), *share = path_of(array, i, "share");
        o.kind = objective_kind(toml_doc_string(r->doc, kind));
        o.class_name = g_strdup(toml_doc_string(r->doc, name));
        toml_doc_number(r->doc, share, &o.share);
        if (o.class_name != NULL && toml_doc_number(r->doc, within, &o.within_s) &&
            o.kind != OW_OBJECTIVE_OTHER)
            g_array_append_val(objectives, o);
        else
            g_free(o.class_name);
        g_free(kind);
        g_free(name);
        g_free(within);
        g_free(share);
    }
    return objectives;
}

static char **read_zones(struct reader *r)
{
    size_t count = toml_doc_count(r->doc, "params.zones");
    char **zones = g_new0(char *, count + 1);
    for (size_t i = 0; i < count; i++) {
        char *path = g_strdup_printf("params.zones[%zu]", i);
        zones[i] = text(r, path);
        g_free(path);
    }
    if (count == 0)
        fail(r, "params.zones", "is missing or empty");
    return zones;
}

static double number_or(struct reader *r, const char *path, double least, double most, double otherwise)
{
    return toml_doc_kind(r->doc, path) == TOML_NONE ? otherwise : number(r, path, least, most);
}

/* Limits to come. */
static void read_next(struct reader *r, struct ow_settings *s)
{
    s->next_write_rps = number_or(r, "params.state.next.write_rps", 1, 1e6, s->state_write_rps);
    s->next_value_kb = number_or(r, "params.state.next.value_kb", 1, 1e6, s->value_kb);
    s->next_txn_ops = (unsigned)number_or(r, "params.state.next.txn_ops", 1, 1e4, s->txn_ops);
}

static void read_numbers(struct reader *r, struct ow_settings *s)
{
    s->report_s = number(r, "params.workers.report_s", 0.1, 3600);
    s->lease_s = number(r, "params.workers.lease_s", 1, 3600);
    s->gang_wait_s = number(r, "params.workers.gang_wait_s", 1, 3600);
    s->gang_peer_s = number(r, "params.workers.gang_peer_s", 0.1, 3600);
    s->cancel_s = number(r, "params.workers.cancel_s", 1, 3600);
    s->state_rps = number(r, "params.state.rps", 1, 1e6);
    s->state_write_rps = number(r, "params.state.write_rps", 1, 1e6);
    s->value_kb = number(r, "params.state.value_kb", 1, 1e6);
    s->txn_ops = (unsigned)number(r, "params.state.txn_ops", 1, 1e4);
    s->cloud_rps = number(r, "params.cloud.rps", 0.1, 1e6);
    s->list_lag_s = number(r, "params.cloud.list_lag_s", 0, 3600);
    s->core_share = number(r, "params.quota.core_share", 0.001, 1024);
    s->memory_mb = number(r, "params.quota.memory_mb", 8, 1e9);
    s->sockets = (unsigned)number(r, "params.quota.sockets", 16, 1e7);
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
    struct reader r = {doc, NULL};
    struct ow_settings *s = g_new0(struct ow_settings, 1);
    s->controller_name = text(&r, "host_name");
    s->zone = text(&r, "area");
    s->front = endpoint(&r, "front");
    s->peer_listen = endpoint(&r, "peer_listen");
    s->cloud = endpoint(&r, "services.cloud");
    s->state = endpoint(&r, "services.state");
    s->peers = read_peers(&r);
    s->teams = read_teams(&r);
    s->objectives = read_objectives(&r);
    s->zones = read_zones(&r);
    read_numbers(&r, s);
    read_next(&r, s);
    toml_doc_free(doc);
    if (r.fault == NULL)
        return s;
    *fault = r.fault;
    ow_settings_free(s);
    return NULL;
}

void ow_settings_free(struct ow_settings *s)
{
    if (s == NULL)
        return;
    g_free(s->controller_name);
    g_free(s->zone);
    g_free(s->front);
    g_free(s->peer_listen);
    g_free(s->cloud);
    g_free(s->state);
    g_array_free(s->peers, TRUE);
    g_array_free(s->teams, TRUE);
    g_array_free(s->objectives, TRUE);
    g_strfreev(s->zones);
    g_free(s);
}
