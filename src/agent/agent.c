#include "agent/agent.h"

#include "agent/heartbeat_schedule.h"
#include "agent/machine.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/loop.h"
#include "io/net.h"
#include "model/http_status.h"
#include "wire/worker_json.h"
#include "wire/user_json.h"
#include "wire/words.h"

#include <stdio.h>
#include <string.h>

/* Interval at which the lease, the tasks and idle connections are checked. */
static const double ROUND_INTERVAL_S = 0.05;
/* A connection from a controller is closed after this long without data. */
static const double IDLE_TIMEOUT_S = 60;
/* Upper bound of the random delay before the heartbeat after a redirect: it keeps all agents from sending to
 * the same controller at once. */
static const double REDIRECT_DELAY_S_MAX = 0.5;

/* Maximum size of the body of a direct request, and maximum numbers of incoming and outgoing connections. */
enum { BODY_LIMIT_BYTES = 256 * 1024, SERVER_CONNECTIONS = 32, CLIENT_CONNECTIONS = 4 };

/* All heartbeats share one tag, since at most one is in flight. */
enum { HEARTBEAT_TAG = 1 };

struct agent {
    struct agent_machine machine;
    struct agent_heartbeat_schedule schedule;
    struct agent_sent_heartbeat sent_heartbeat; /* the most recent one */
    struct ow_loop *loop;
    struct ow_http_server *server; /* direct commands */
    struct ow_http_client *client; /* heartbeats */
};

/* ---- direct commands ---- */

static void answer(struct agent *agent, const struct ow_http_request *request, int status, const char *body)
{
    ow_http_server_answer(agent->server, request->id, status, NULL, body, strlen(body));
}

static void answer_heartbeat(struct agent *agent, const struct ow_http_request *request, int status)
{
    g_autofree char *body = agent_machine_encode_heartbeat(&agent->machine);
    answer(agent, request, status, body);
}

static void answer_error(struct agent *agent, const struct ow_http_request *request, int status,
                         const char *text)
{
    g_autofree char *body = wire_error_encode(text);
    answer(agent, request, status, body);
}

static void handle_commands(struct agent *agent, const struct ow_http_request *request)
{
    g_autoptr(wire_command_batch) commands = wire_worker_commands_decode(request->body, request->body_size);
    if (commands == NULL || !commands->has_fencing_token || !commands->has_incarnation) {
        answer_error(agent, request, OW_HTTP_STATUS_BAD_REQUEST, "no commands with token and session");
        return;
    }
    bool is_accepted = agent_machine_apply_direct(&agent->machine, commands, ow_loop_now(agent->loop));
    answer_heartbeat(agent, request, is_accepted ? OW_HTTP_STATUS_OK : OW_HTTP_STATUS_CONFLICT);
}

static void handle_request(void *owner, const struct ow_http_request *request)
{
    struct agent *agent = owner;
    agent_machine_check_lease(&agent->machine);
    if (strcmp(request->target, W_PATH_COMMANDS) == 0 && strcmp(request->method, "POST") == 0)
        handle_commands(agent, request);
    else if (strcmp(request->target, W_PATH_STATUS) == 0 && strcmp(request->method, "GET") == 0)
        answer_heartbeat(agent, request, OW_HTTP_STATUS_OK);
    else
        answer_error(agent, request, OW_HTTP_STATUS_NOT_FOUND, "no such path");
}

/* ---- heartbeats ---- */

static void send_heartbeat(struct agent *agent)
{
    double now = ow_loop_now(agent->loop);
    g_autofree char *body = agent_machine_encode_heartbeat(&agent->machine);
    agent->sent_heartbeat = (struct agent_sent_heartbeat){.incarnation = agent->machine.incarnation.number,
                                                          .sent_at = agent_clock_now()};
    agent_heartbeat_schedule_record_sent(&agent->schedule, now, g_random_double_range(-1, 1));
    const char *endpoint = agent_heartbeat_schedule_controller(&agent->schedule)->endpoint;
    ow_http_client_send(agent->client, endpoint, "POST", W_PATH_HEARTBEAT, body, AGENT_HEARTBEAT_TIMEOUT_S,
                        HEARTBEAT_TAG);
}

/* A controller that is not a leader answers without a fencing token; such an answer does not renew the
 * lease. */
static void handle_accepted(struct agent *agent, const char *body, size_t size, double now)
{
    g_autoptr(wire_command_batch) commands = wire_worker_commands_decode(body, size);
    agent_heartbeat_schedule_record_accepted(&agent->schedule);
    if (commands != NULL && commands->has_fencing_token)
        agent_machine_apply_answer(&agent->machine, commands, &agent->sent_heartbeat, now);
}

static void handle_redirect(struct agent *agent, const char *body, size_t size, double now)
{
    g_autofree char *name = wire_redirect_decode(body, size);
    double delay_s = g_random_double_range(0, REDIRECT_DELAY_S_MAX);
    agent_heartbeat_schedule_record_redirect(&agent->schedule, name, now, delay_s);
}

static void handle_reply(void *owner, uint64_t tag, int status, const char *body, size_t size)
{
    struct agent *agent = owner;
    double now = ow_loop_now(agent->loop);
    (void)tag;
    agent_machine_check_lease(&agent->machine);
    if (status == OW_HTTP_STATUS_OK)
        handle_accepted(agent, body, size, now);
    else if (status == OW_HTTP_STATUS_MISDIRECTED)
        handle_redirect(agent, body, size, now);
    else
        agent_heartbeat_schedule_record_failure(&agent->schedule, now);
}

/* ---- the process ---- */

/* The round of the loop (ow_round_fn). */
static double run_round(void *owner, double now)
{
    struct agent *agent = owner;
    agent_machine_check_lease(&agent->machine);
    agent_machine_poll_tasks(&agent->machine);
    ow_http_client_sweep(agent->client, now);
    ow_http_server_sweep(agent->server, now);
    if (agent_heartbeat_schedule_is_due(&agent->schedule, now))
        send_heartbeat(agent);
    return ROUND_INTERVAL_S;
}

static bool open_sockets(struct agent *agent, const struct agent_options *options)
{
    const struct ow_http_server_options server_options = {
        .endpoint = options->listen,
        .body_limit_bytes = BODY_LIMIT_BYTES,
        .max_connections = SERVER_CONNECTIONS,
        .idle_s = IDLE_TIMEOUT_S,
    };
    ow_net_set_source(options->listen);
    agent->loop = ow_loop_new();
    agent->client = ow_http_client_new(agent->loop, CLIENT_CONNECTIONS, handle_reply, agent);
    agent->server = ow_http_server_new(agent->loop, &server_options, handle_request, agent);
    if (agent->server == NULL)
        fprintf(stderr, "ospreywell-agent: can't listen on %s\n", options->listen);
    return agent->server != NULL;
}

void agent_run(const struct agent_options *options)
{
    struct agent agent = {0};
    g_autoptr(GError) error = NULL;
    if (!agent_machine_open(&agent.machine, options, &error)) {
        if (error != NULL)
            fprintf(stderr, "ospreywell-agent: %s\n", error->message);
        return;
    }
    if (!open_sockets(&agent, options))
        return;
    agent_machine_start(&agent.machine, &agent.schedule);
    agent_heartbeat_schedule_init(&agent.schedule, options, ow_loop_now(agent.loop));
    ow_loop_run(agent.loop, run_round, &agent);
}
