/* The program: a controller, a check of its settings, or a client command. */
#include "config/cmdline.h"
#include "config/operators_file.h"
#include "config/settings_file.h"
#include "io/client.h"
#include "io/daemon.h"
#include "io/log.h"
#include "io/net.h"
#include "sharding/sharding_settings.h"
#include "sharding/sharding_settings_check.h"

#include <stdio.h>
#include <stdlib.h>

enum { STATUS_DONE = 0, STATUS_FAILED = 1 };

/* Says what is wrong with the file, and frees the fault. */
static int print_error(const char *file, char *fault)
{
    fprintf(stderr, "ospreywell: %s: %s\n", file, fault);
    g_free(fault);
    return STATUS_FAILED;
}

/* Everything that the settings files say. */
struct configuration {
    struct ow_settings *settings;
    struct ow_tuning tuning;
    struct ow_sharding_settings *sharding;
};

/* Serves as a controller; returns only if it can't begin. */
static int serve(const struct ow_cmdline *cmdline, const struct configuration *configuration)
{
    g_autoptr(GError) error = NULL;
    if (configuration->sharding->enabled)
        ow_net_set_source(configuration->settings->front);
    struct ow_loop *loop = ow_loop_new();
    struct ow_daemon *daemon =
        ow_daemon_new(loop, configuration->settings, &configuration->tuning, configuration->sharding, &error);
    if (daemon == NULL)
        return print_error(cmdline->config, g_strdup(error->message));
    ow_loop_run(loop, ow_daemon_round, daemon);
    return STATUS_DONE;
}

/* Reads the operators' settings and checks them against the platform's; what is wrong, or NULL. */
static char *load_operators(const char *path, struct configuration *configuration)
{
    char *fault = NULL;
    g_autoptr(GError) error = NULL;
    if (!ow_operators_load(path, &configuration->tuning, configuration->sharding, &fault))
        return fault;
    if (ow_sharding_settings_check(configuration->sharding, configuration->settings, &configuration->tuning,
                                   &error))
        return NULL;
    return g_strdup(error->message);
}

/* Checks the files, and serves unless only that is wanted. */
static int run_configuration(const struct ow_cmdline *cmdline, struct configuration *configuration)
{
    char *fault = cmdline->operators != NULL ? load_operators(cmdline->operators, configuration) : NULL;
    if (fault != NULL)
        return print_error(cmdline->operators, fault);
    if (cmdline->action != OW_ACTION_CHECK)
        return serve(cmdline, configuration);
    printf("the settings are in order\n");
    return STATUS_DONE;
}

/* Reads the settings, and serves unless only a check is wanted. */
static int with_settings(const struct ow_cmdline *cmdline)
{
    char *fault = NULL;
    struct configuration configuration = {.settings = ow_settings_load(cmdline->config, &fault),
                                          .tuning = ow_tuning_default()};
    if (configuration.settings == NULL)
        return print_error(cmdline->config, fault);
    configuration.sharding = ow_sharding_settings_new();
    int status = run_configuration(cmdline, &configuration);
    ow_sharding_settings_free(configuration.sharding);
    ow_settings_free(configuration.settings);
    return status;
}

int main(int argc, char **argv)
{
    struct ow_cmdline cmdline;
    int status = ow_cmdline_parse(argc, argv, &cmdline);
    ow_log_setup(getenv("LOG_LEVEL"));
    if (status == STATUS_DONE && cmdline.action == OW_ACTION_VERSION)
        printf("ospreywell %s\n", OW_VERSION);
    else if (status == STATUS_DONE && cmdline.action == OW_ACTION_CLIENT)
        status = ow_client_run(cmdline.server, cmdline.words);
    else if (status == STATUS_DONE)
        status = with_settings(&cmdline);
    ow_cmdline_clear(&cmdline);
    return status;
}
