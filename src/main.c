/* Entry point of the controller and of the command line client. */
#include "client/client.h"
#include "config/command_line.h"
#include "config/operators_file.h"
#include "config/settings_file.h"
#include "io/daemon.h"
#include "io/log.h"
#include "io/net.h"
#include "sharding/sharding_settings.h"
#include "sharding/sharding_settings_check.h"

#include <stdio.h>
#include <stdlib.h>

/* Exit statuses. */
enum { STATUS_DONE = 0, STATUS_FAILED = 1, STATUS_USAGE = 2 };

/* The contents of the settings files. */
struct configuration {
    struct ow_settings *settings;
    struct ow_tuning tuning;
    struct ow_sharding_settings *sharding;
};

/* Prints an error in a file to standard error; returns the exit status. */
static int print_file_error(const char *path, const char *message)
{
    fprintf(stderr, "ospreywell: %s: %s\n", path, message);
    return STATUS_FAILED;
}

/* Runs a controller; returns only if startup fails. */
static int serve(const struct ow_command_line *command_line, const struct configuration *configuration)
{
    g_autoptr(GError) error = NULL;
    if (configuration->sharding->is_enabled)
        ow_net_set_source(configuration->settings->http_listen);
    struct ow_loop *loop = ow_loop_new();
    struct ow_daemon *daemon =
        ow_daemon_new(loop, configuration->settings, &configuration->tuning, configuration->sharding, &error);
    if (daemon == NULL)
        return print_file_error(command_line->config, error->message);
    ow_loop_run(loop, ow_daemon_round, daemon);
    return STATUS_DONE;
}

/* Reads the operators' settings, and checks them against the platform's. */
static int load_operators(const char *path, struct configuration *configuration)
{
    g_autoptr(GError) error = NULL;
    if (ow_operators_load(path, &configuration->tuning, configuration->sharding, &error) &&
        ow_sharding_settings_check(configuration->sharding, configuration->settings, &configuration->tuning,
                                   &error))
        return STATUS_DONE;
    return print_file_error(path, error->message);
}

/* Reads the operators' settings, if a file is given, and runs the controller unless only a check is
 * requested. */
static int run_configuration(const struct ow_command_line *command_line, struct configuration *configuration)
{
    int status = STATUS_DONE;
    if (command_line->operators != NULL)
        status = load_operators(command_line->operators, configuration);
    if (status != STATUS_DONE)
        return status;
    if (command_line->action != OW_ACTION_CHECK)
        return serve(command_line, configuration);
    printf("the settings are in order\n");
    return STATUS_DONE;
}

/* Reads the platform's settings and continues with run_configuration(). */
static int load_and_run(const struct ow_command_line *command_line)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(ow_settings) settings = ow_settings_load(command_line->config, &error);
    if (settings == NULL)
        return print_file_error(command_line->config, error->message);
    struct configuration configuration = {
        .settings = settings, .tuning = ow_tuning_default(), .sharding = ow_sharding_settings_new()};
    int status = run_configuration(command_line, &configuration);
    ow_sharding_settings_free(configuration.sharding);
    return status;
}

static int run(const struct ow_command_line *command_line)
{
    switch (command_line->action) {
    case OW_ACTION_VERSION:
        printf("ospreywell %s\n", OW_VERSION);
        return STATUS_DONE;
    case OW_ACTION_CLIENT:
        return ow_client_run(command_line->server, command_line->client_args);
    case OW_ACTION_SERVE:
    case OW_ACTION_CHECK:
        break;
    }
    return load_and_run(command_line);
}

int main(int argc, char **argv)
{
    struct ow_command_line command_line;
    g_autoptr(GError) error = NULL;
    bool is_parsed = ow_command_line_parse(argc, argv, &command_line, &error);
    if (!is_parsed)
        fprintf(stderr, "ospreywell: %s\n", error->message);
    ow_log_setup(getenv("LOG_LEVEL"));
    int status = is_parsed ? run(&command_line) : STATUS_USAGE;
    ow_command_line_clear(&command_line);
    return status;
}
