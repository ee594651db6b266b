#include "client/client.h"

#include "client/exchange.h"
#include "client/print.h"
#include "model/http_status.h"
#include "util/endpoint.h"
#include "wire/json.h"
#include "wire/words.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* The kind of a command's argument. */
enum argument {
    ARGUMENT_NONE,
    ARGUMENT_JOB_ID,   /* inserted into the path */
    ARGUMENT_JOB_FILE, /* path of a file whose text is the body; "-" is standard input */
};

struct command {
    const char *name;
    enum argument argument;
    const char *method;
    const char *path;
    const char *path_suffix; /* appended after the id of a job; NULL for other commands */
    const char *body;        /* of a command without a file; NULL: none */
    /* Prints the answer to a successful command to standard output. */
    void (*print)(const json_t *answer);
};

static const struct command commands[] = {
    {.name = "submit",
     .argument = ARGUMENT_JOB_FILE,
     .method = "POST",
     .path = W_PATH_JOBS,
     .print = ow_print_job},
    {.name = "show",
     .argument = ARGUMENT_JOB_ID,
     .method = "GET",
     .path = W_PATH_JOBS "/",
     .path_suffix = "",
     .print = ow_print_job},
    {.name = "cancel",
     .argument = ARGUMENT_JOB_ID,
     .method = "POST",
     .path = W_PATH_JOBS "/",
     .path_suffix = "/" W_PATH_CANCEL,
     .body = "{}",
     .print = ow_print_job},
    {.name = "teams", .method = "GET", .path = W_PATH_TEAMS, .print = ow_print_teams},
    {.name = "controllers", .method = "GET", .path = W_PATH_CONTROLLERS, .print = ow_print_controllers},
    {.name = "shards", .method = "GET", .path = W_PATH_SHARDS, .print = ow_print_shards},
};

/* The command that the arguments name, if they have the right number; else NULL. */
static const struct command *find_command(char *const *arguments)
{
    const char *argument = arguments[1];
    bool has_one_argument = argument != NULL && arguments[2] == NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const struct command *command = &commands[i];
        bool fits = command->argument == ARGUMENT_NONE ? argument == NULL : has_one_argument;
        if (fits && strcmp(arguments[0], command->name) == 0)
            return command;
    }
    return NULL;
}

/* Returns the text of the file (g_free), or NULL after printing an error. */
static char *read_job(const char *file)
{
    g_autoptr(GError) error = NULL;
    char *text = NULL;
    if (!g_file_get_contents(strcmp(file, "-") == 0 ? "/dev/stdin" : file, &text, NULL, &error))
        fprintf(stderr, "ospreywell: %s\n", error->message);
    return text;
}

/* Prints the error of an answer; `answer` is NULL if the body is not a JSON object. */
static void print_error(int status, const json_t *answer)
{
    const char *message = "the response body is not a JSON object, or has no error message";
    if (status == OW_HTTP_STATUS_NONE) {
        fprintf(stderr, "ospreywell: the controller does not answer\n");
        return;
    }
    wire_json_get_string(answer, "error", &message);
    fprintf(stderr, "ospreywell: status %d: %s\n", status, message);
}

static enum ow_client_status print_answer(const struct command *command, int status, const GString *body)
{
    json_t *answer = wire_json_parse_object(body->str, body->len, &wire_json_any_fields);
    bool is_done = (status == OW_HTTP_STATUS_OK || status == OW_HTTP_STATUS_CREATED) && answer != NULL;
    if (is_done)
        command->print(answer);
    else
        print_error(status, answer);
    json_decref(answer);
    return is_done ? OW_CLIENT_DONE : OW_CLIENT_FAILED;
}

/* Carries out a command; `argument` is NULL if the command takes none. */
static enum ow_client_status run_command(const char *server, const struct command *command,
                                         const char *argument)
{
    bool has_job_id = command->argument == ARGUMENT_JOB_ID;
    /* g_strconcat() stops at the first NULL: without the id of a job the path is command->path. */
    g_autofree char *path =
        g_strconcat(command->path, has_job_id ? argument : NULL, command->path_suffix, NULL);
    g_autofree char *text = NULL;
    if (command->argument == ARGUMENT_JOB_FILE) {
        text = read_job(argument);
        if (text == NULL)
            return OW_CLIENT_FAILED;
    }
    const struct ow_exchange_request request = {
        .method = command->method,
        .path = path,
        .body = text != NULL ? text : command->body,
    };
    g_autoptr(GString) body = g_string_new(NULL);
    int status = ow_exchange(server, &request, body);
    return print_answer(command, status, body);
}

enum ow_client_status ow_client_run(const char *server, char *const *arguments)
{
    if (!ow_endpoint_is_valid(server)) {
        fprintf(stderr, "ospreywell: --server ADDRESS:PORT or OSPREYWELL_SERVER is needed\n");
        return OW_CLIENT_USAGE;
    }
    const struct command *command = find_command(arguments);
    if (command == NULL) {
        fprintf(stderr, "ospreywell: %s: unknown command, or wrong number of arguments; see --help\n",
                arguments[0]);
        return OW_CLIENT_USAGE;
    }
    return run_command(server, command, arguments[1]);
}
