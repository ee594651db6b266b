#include "agent/agent.h"

#include "agent/heartbeat.h"
#include "agent/tasks.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "model/http_status.h"
#include "io/net.h"
#include "model/worker.h"
#include "wire/worker_json.h"
#include "wire/user_json.h"
#include "wire/words.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How long a heartbeat may take; how often idle connections and tasks are looked at. */
static const double HEARTBEAT_TIMEOUT_S = 4, ROUND_S = 0.05;
enum { BODY_LIMIT_BYTES = 256 * 1024, SERVER_CONNECTIONS = 32, CLIENT_CONNECTIONS = 4 };
static const double IDLE_S = 60;

struct agent {
    const struct agent_options *options;
    struct ow_loop *loop;
    struct ow_http_server *server;
    struct ow_http_client *client;
    struct agent_history history;
    struct agent_incarnation incarnation;
    struct agent_lease *lease;
    struct agent_tasks *tasks;
    struct agent_heartbeat heartbeat_timer;
    uint64_t sequence;              /* of the last message that tells the state of this machine */
    uint64_t heartbeat_incarnation; /* of the heartbeat under way */
    double heartbeat_clock;         /* when it left, by the lease's clock */
};

/* ---- what this machine says ---- */

/* The text of a heartbeat (g_free). Each has a number of its own. */
static char *make_heartbeat(struct agent *agent)
{
    const struct agent_options *options = agent->options;
    struct ow_heartbeat heartbeat = {
        .machine = options->machine,
        .addr = options->advertise,
        .type = options->type,
        .zone = options->zone,
        .spot = options->spot,
        .incarnation = agent->incarnation.number,
        .seq = ++agent->sequence,
        .fencing_token = agent->incarnation.fencing_token,
        .reclaim_notice_s = -1,
        .tasks = g_array_new(FALSE, FALSE, sizeof(struct ow_task_status)),
    };
    agent_tasks_status(agent->tasks, heartbeat.tasks);
    char *text = wire_heartbeat_encode(&heartbeat);
    g_array_free(heartbeat.tasks, TRUE);
    return text;
}

/* ---- whom it obeys ---- */

static void record_orders(const struct agent *agent, const struct wire_command_batch *orders, const char *via,
                          bool accepted)
{
    agent_history_add(&agent->history, "orders",
                      ",\"via\":\"%s\",\"token\":%" PRIu64 ",\"seen\":%" PRIu64 ",\"session\":%" PRIu64
                      ",\"commands\":%u,\"accepted\":%s",
                      via, orders->fencing_token, agent->incarnation.fencing_token, agent->incarnation.number,
                      orders->commands->len, accepted ? "true" : "false");
}

static void observe_fencing_token(struct agent *agent, uint64_t fencing_token)
{
    if (fencing_token <= agent->incarnation.fencing_token)
        return;
    agent_incarnation_set_fencing_token(&agent->incarnation, fencing_token);
    agent_history_add(&agent->history, "token", ",\"token\":%" PRIu64, fencing_token);
    agent_heartbeat_fencing_token_changed(&agent->heartbeat_timer, ow_loop_now(agent->loop));
}

static void obey(struct agent *agent, const struct wire_command_batch *orders)
{
    observe_fencing_token(agent, orders->fencing_token);
    if (orders->commands->len == 0)
        return;
    agent_tasks_obey(agent->tasks, orders->commands);
    agent_heartbeat_changed(&agent->heartbeat_timer);
}

/* Who is cut off from every controller kills its tasks and begins anew. */
static void check_lease(struct agent *agent)
{
    if (!agent_lease_is_over(agent->lease))
        return;
    agent_history_add(&agent->history, "lease-over", ",\"session\":%" PRIu64, agent->incarnation.number);
    agent_tasks_forget_all(agent->tasks);
    agent_incarnation_begin_next(&agent->incarnation);
    agent_lease_restart(agent->lease);
    agent_history_add(&agent->history, "session", ",\"session\":%" PRIu64, agent->incarnation.number);
    agent_heartbeat_changed(&agent->heartbeat_timer);
}

/* ---- direct commands ---- */

static void answer_heartbeat(struct agent *agent, const struct ow_http_request *request, int status)
{
    char *body = make_heartbeat(agent);
    ow_http_server_answer(agent->server, request->id, status, NULL, body, strlen(body));
    g_free(body);
}

static void answer_error(struct agent *agent, const struct ow_http_request *request, int status,
                         const char *text)
{
    char *body = wire_error_encode(text);
    ow_http_server_answer(agent->server, request->id, status, NULL, body, strlen(body));
    g_free(body);
}

static void take_direct(struct agent *agent, const struct ow_http_request *request)
{
    struct wire_command_batch *orders = wire_worker_commands_decode(request->body, request->body_size);
    if (orders == NULL || !orders->has_fencing_token || !orders->has_incarnation) {
        answer_error(agent, request, OW_HTTP_STATUS_BAD_REQUEST, "no commands with token and session");
        wire_command_batch_free(orders);
        return;
    }
    bool accepted = orders->fencing_token >= agent->incarnation.fencing_token &&
                    orders->incarnation == agent->incarnation.number;
    record_orders(agent, orders, "direct", accepted);
    if (accepted)
        obey(agent, orders);
    answer_heartbeat(agent, request, accepted ? OW_HTTP_STATUS_OK : OW_HTTP_STATUS_CONFLICT);
    wire_command_batch_free(orders);
}

static void handle_request(void *owner, const struct ow_http_request *request)
{
    struct agent *agent = owner;
    /* A machine that stood still must not act for a lease that is over. */
    check_lease(agent);
    if (strcmp(request->target, W_PATH_COMMANDS) == 0 && strcmp(request->method, "POST") == 0)
        take_direct(agent, request);
    else if (strcmp(request->target, W_PATH_STATUS) == 0 && strcmp(request->method, "GET") == 0)
        answer_heartbeat(agent, request, OW_HTTP_STATUS_OK);
    else
        answer_error(agent, request, OW_HTTP_STATUS_NOT_FOUND, "no such path");
}

/* ---- reports ---- */

static void send_heartbeat(struct agent *agent)
{
    double now = ow_loop_now(agent->loop);
    char *body = make_heartbeat(agent);
    agent->heartbeat_incarnation = agent->incarnation.number;
    agent->heartbeat_clock = agent_clock();
    agent_heartbeat_sent(&agent->heartbeat_timer, now, g_random_double_range(-1, 1));
    ow_http_client_send(agent->client, agent_heartbeat_controller(&agent->heartbeat_timer)->endpoint, "POST",
                        W_PATH_HEARTBEAT, body, HEARTBEAT_TIMEOUT_S, 1);
    g_free(body);
}

/* An answer of who may be entitled; one with an older fencing token, or none, is as good as none. */
static void take_orders(struct agent *agent, const char *body, size_t size)
{
    struct wire_command_batch *orders = wire_worker_commands_decode(body, size);
    agent_heartbeat_accepted(&agent->heartbeat_timer);
    if (orders == NULL || !orders->has_fencing_token) {
        wire_command_batch_free(orders);
        return;
    }
    bool in_time = agent_clock() - agent->heartbeat_clock <= HEARTBEAT_TIMEOUT_S;
    bool accepted = in_time && orders->fencing_token >= agent->incarnation.fencing_token &&
                    agent->heartbeat_incarnation == agent->incarnation.number;
    record_orders(agent, orders, "answer", accepted);
    if (accepted) {
        agent_lease_renew(agent->lease, agent->heartbeat_clock);
        obey(agent, orders);
    }
    wire_command_batch_free(orders);
}

static void take_answer(void *owner, uint64_t tag, int status, const char *body, size_t size)
{
    struct agent *agent = owner;
    double now = ow_loop_now(agent->loop);
    (void)tag;
    check_lease(agent);
    if (status == OW_HTTP_STATUS_OK) {
        take_orders(agent, body, size);
    } else if (status == OW_HTTP_STATUS_MISDIRECTED) {
        char *name = wire_redirect_decode(body, size);
        agent_heartbeat_misdirected(&agent->heartbeat_timer, name, now, g_random_double_range(0, 0.5));
        g_free(name);
    } else {
        agent_heartbeat_failed(&agent->heartbeat_timer, now);
    }
}

/* ---- life ---- */

static double serve_round(void *owner, double now)
{
    struct agent *agent = owner;
    check_lease(agent);
    if (agent_tasks_poll(agent->tasks))
        agent_heartbeat_changed(&agent->heartbeat_timer);
    ow_http_client_sweep(agent->client, now);
    ow_http_server_sweep(agent->server, now);
    if (agent_heartbeat_is_due(&agent->heartbeat_timer, now))
        send_heartbeat(agent);
    return ROUND_S;
}

static bool open_sockets(struct agent *agent)
{
    struct ow_http_server_options options = {agent->options->listen, BODY_LIMIT_BYTES, SERVER_CONNECTIONS,
                                             IDLE_S};
    ow_net_set_source(agent->options->listen);
    agent->loop = ow_loop_new();
    agent->client = ow_http_client_new(agent->loop, CLIENT_CONNECTIONS, take_answer, agent);
    agent->server = ow_http_server_new(agent->loop, &options, handle_request, agent);
    if (agent->server == NULL)
        fprintf(stderr, "ospreywell-agent: cannot listen on %s\n", agent->options->listen);
    return agent->server != NULL;
}

void agent_run(const struct agent_options *options)
{
    struct agent agent = {.options = options};
    /* Whoever starts again waits here until the tasks of its last life are gone. */
    if (!agent_history_open(&agent.history, options->history, options->machine) ||
        !agent_incarnation_open(&agent.incarnation, options->state_dir) || !open_sockets(&agent))
        return;
    agent.lease = agent_lease_new(options->lease_s);
    agent.tasks = agent_tasks_new(options, &agent.incarnation, agent.lease, &agent.history);
    agent_heartbeat_init(&agent.heartbeat_timer, options, ow_loop_now(agent.loop));
    agent_history_add(&agent.history, "session", ",\"session\":%" PRIu64, agent.incarnation.number);
    ow_loop_run(agent.loop, serve_round, &agent);
}
