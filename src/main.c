/* The program: a controller, a check of its settings, or a client command. */
#include "config/cmdline.h"
#include "config/operators_file.h"
#include "config/settings_file.h"
#include "io/client.h"
#include "io/log.h"
#include "io/service.h"

#include <stdio.h>
#include <stdlib.h>

enum { STATUS_DONE = 0, STATUS_FAILED = 1 };

/* Says what is wrong with the file, and frees the fault. */
static int complain(const char *file, char *fault)
{
    fprintf(stderr, "ospreywell: %s: %s\n", file, fault);
    g_free(fault);
    return STATUS_FAILED;
}

/* Serves as a controller; returns only if it can't begin. */
static int serve(const struct ow_cmdline *cmdline, struct ow_settings *settings, const struct ow_rules *rules)
{
    char *fault = NULL;
    struct ow_loop *loop = ow_loop_new();
    struct ow_service *service = ow_service_new(loop, settings, rules, &fault);
    if (service == NULL)
        return complain(cmdline->config, fault);
    ow_loop_run(loop, ow_service_round, service);
    return STATUS_DONE;
}

/* Reads the settings, and serves unless only a check is wanted. */
static int with_settings(const struct ow_cmdline *cmdline)
{
    char *fault = NULL;
    struct ow_rules rules = ow_rules_default();
    struct ow_settings *settings = ow_settings_load(cmdline->config, &fault);
    if (settings == NULL)
        return complain(cmdline->config, fault);
    if (cmdline->operators != NULL && !ow_operators_load(cmdline->operators, &rules, &fault)) {
        ow_settings_free(settings);
        return complain(cmdline->operators, fault);
    }
    int status = STATUS_DONE;
    if (cmdline->action == OW_ACTION_CHECK)
        printf("the settings are in order\n");
    else
        status = serve(cmdline, settings, &rules);
    ow_settings_free(settings);
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
