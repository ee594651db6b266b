#include "io/client.h"

#include "io/http_client.h"
#include "model/http_status.h"
#include "wire/json.h"
#include "util/endpoint.h"
#include "wire/words.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

static const double TIMEOUT_S = 5, SWEEP_S = 0.1;

struct exchange {
    bool ended;
    int status;
    GString *body;
};

static void take_answer(void *owner, uint64_t tag, int status, const char *body, size_t size)
{
    struct exchange *x = owner;
    (void)tag;
    x->ended = true;
    x->status = status;
    g_string_append_len(x->body, body, (gssize)size);
}

static double sweep(void *owner, double now)
{
    ow_http_client_sweep(owner, now);
    return SWEEP_S;
}

static int request(const char *server, const char *method, const char *path, const char *body,
                   GString *answer)
{
    struct exchange x = {.body = answer};
    struct ow_loop *loop = ow_loop_new();
    struct ow_http_client *client = ow_http_client_new(loop, 1, take_answer, &x);
    ow_http_client_send(client, server, method, path, body, TIMEOUT_S, 1);
    while (!x.ended)
        ow_loop_once(loop, sweep, client);
    ow_http_client_free(client);
    ow_loop_free(loop);
    return x.status;
}

static void print_job(const json_t *o)
{
    const char *id = "", *state = "", *reason = NULL;
    uint64_t done = 0, running = 0;
    wire_json_get_string(o, W_ID, &id);
    wire_json_get_string(o, W_STATE, &state);
    printf("%s: %s", id, state);
    if (wire_json_get_count(o, W_DONE_COUNT, &done))
        printf(", %" G_GUINT64_FORMAT " tasks done", done);
    if (wire_json_get_count(o, W_RUNNING_COUNT, &running))
        printf(", %" G_GUINT64_FORMAT " running", running);
    if (wire_json_get_string(o, W_REASON, &reason))
        printf("\nwaits: %s", reason);
    printf("\n");
}

static void print_amounts(const json_t *team, const char *field)
{
    const json_t *o = json_object_get(team, field);
    double cpus = 0, gpus = 0, memory = 0;
    wire_json_get_number(o, W_CPUS, &cpus);
    wire_json_get_number(o, W_GPUS, &gpus);
    wire_json_get_number(o, W_MEMORY_GB, &memory);
    printf(", %s: %g CPUs, %g GPUs, %g GB", field, cpus, gpus, memory);
}

static void print_teams(const json_t *o)
{
    size_t i;
    json_t *team;
    json_array_foreach(json_object_get(o, "teams"), i, team)
    {
        const char *name = "";
        uint64_t jobs = 0, waiting = 0;
        wire_json_get_string(team, W_TEAM, &name);
        wire_json_get_count(team, "jobs", &jobs);
        wire_json_get_count(team, "waiting_jobs", &waiting);
        printf("%s: %" G_GUINT64_FORMAT " jobs, %" G_GUINT64_FORMAT " with waiting tasks", name, jobs,
               waiting);
        print_amounts(team, "running");
        print_amounts(team, "waiting");
        printf("\n");
    }
}

static void print_controllers(const json_t *o)
{
    size_t i;
    json_t *controller;
    const char *agreement = "";
    wire_json_get_string(o, "agreement", &agreement);
    printf("settings: %s\n", agreement);
    json_array_foreach(json_object_get(o, "controllers"), i, controller)
    {
        const char *name = "", *state = "", *cause = "";
        double since_s = 0, phi = 0;
        wire_json_get_string(controller, "name", &name);
        wire_json_get_string(controller, "state", &state);
        wire_json_get_string(controller, "cause", &cause);
        wire_json_get_number(controller, "since_s", &since_s);
        wire_json_get_number(controller, "phi", &phi);
        printf("%s: %s for %.1f s, phi %.1f: %s; leads", name, state, since_s, phi, cause);
        char **led = wire_json_copy_strings(json_object_get(controller, "leads"));
        for (char **shard = led; shard != NULL && *shard != NULL; shard++)
            printf(" %s", *shard);
        printf("%s\n", led == NULL || *led == NULL ? " nothing" : "");
        g_strfreev(led);
    }
}

/* One step of a shard's handovers. */
static void print_step(const json_t *step)
{
    const char *state = "", *cause = "";
    double since_s = 0;
    wire_json_get_string(step, "state", &state);
    wire_json_get_string(step, "cause", &cause);
    wire_json_get_number(step, "since_s", &since_s);
    printf("    %.1f s ago: %s: %s\n", since_s, state, cause);
}

static void print_shards(const json_t *o)
{
    size_t i, k;
    json_t *shard, *step;
    json_array_foreach(json_object_get(o, "shards"), i, shard)
    {
        const char *name = "", *state = "", *leader = "nobody", *successor = "";
        uint64_t fencing_token = 0, machines = 0, fenced = 0;
        wire_json_get_string(shard, "name", &name);
        wire_json_get_string(shard, "state", &state);
        wire_json_get_string(shard, "leader", &leader);
        wire_json_get_string(shard, "successor", &successor);
        wire_json_get_count(shard, "token", &fencing_token);
        wire_json_get_count(shard, "machines", &machines);
        wire_json_get_count(shard, "fenced", &fenced);
        printf("%s: %s, led by %s, next would be %s", name, state, leader, successor);
        if (fencing_token > 0)
            printf("; token %" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
                   " machines fenced",
                   fencing_token, fenced, machines);
        printf("\n");
        json_array_foreach(json_object_get(shard, "steps"), k, step) print_step(step);
    }
}

/* Prints the answer to a command that was carried out. */
typedef void (*print_fn)(const json_t *answer);

static enum ow_client_status print_answer(int status, const GString *answer, print_fn print)
{
    json_t *o = wire_json_parse_object(answer->str, answer->len);
    const char *fault = "no readable answer";
    bool ok = (status == OW_HTTP_STATUS_OK || status == OW_HTTP_STATUS_CREATED) && o != NULL;
    if (ok)
        print(o);
    else if (status == OW_HTTP_STATUS_NONE)
        fprintf(stderr, "ospreywell: the controller does not answer\n");
    else {
        wire_json_get_string(o, "error", &fault);
        fprintf(stderr, "ospreywell: status %d: %s\n", status, fault);
    }
    json_decref(o);
    return ok ? OW_CLIENT_DONE : OW_CLIENT_FAILED;
}

static char *read_job(const char *file)
{
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(strcmp(file, "-") == 0 ? "/dev/stdin" : file, &text, NULL, &error)) {
        fprintf(stderr, "ospreywell: %s\n", error->message);
        g_error_free(error);
    }
    return text;
}

static enum ow_client_status exchange(const char *server, const char *method, char *path, char *body,
                                      print_fn print)
{
    GString *answer = g_string_new(NULL);
    int status = request(server, method, path, body, answer);
    enum ow_client_status result = print_answer(status, answer, print);
    g_string_free(answer, TRUE);
    g_free(path);
    g_free(body);
    return result;
}

enum ow_client_status ow_client_run(const char *server, char **words)
{
    const char *verb = words[0], *what = words[1];
    bool one = what != NULL && words[2] == NULL;
    if (!ow_endpoint_is_valid(server)) {
        fprintf(stderr, "ospreywell: --server ADDRESS:PORT or OSPREYWELL_SERVER is needed\n");
        return OW_CLIENT_USAGE;
    }
    if (strcmp(verb, "submit") == 0 && one) {
        char *job = read_job(what);
        return job != NULL ? exchange(server, "POST", g_strdup(W_PATH_JOBS), job, print_job)
                           : OW_CLIENT_FAILED;
    }
    if (strcmp(verb, "show") == 0 && one)
        return exchange(server, "GET", g_strconcat(W_PATH_JOBS, "/", what, NULL), NULL, print_job);
    if (strcmp(verb, "cancel") == 0 && one)
        return exchange(server, "POST", g_strconcat(W_PATH_JOBS, "/", what, "/", W_PATH_CANCEL, NULL),
                        g_strdup("{}"), print_job);
    if (strcmp(verb, "teams") == 0 && what == NULL)
        return exchange(server, "GET", g_strdup(W_PATH_TEAMS), NULL, print_teams);
    if (strcmp(verb, "controllers") == 0 && what == NULL)
        return exchange(server, "GET", g_strdup(W_PATH_CONTROLLERS), NULL, print_controllers);
    if (strcmp(verb, "shards") == 0 && what == NULL)
        return exchange(server, "GET", g_strdup(W_PATH_SHARDS), NULL, print_shards);
    fprintf(stderr, "ospreywell: %s: not a command, or wrong words behind it; see --help\n", verb);
    return OW_CLIENT_USAGE;
}
