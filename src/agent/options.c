#include "agent/options.h"

#include "util/endpoint.h"

#include <stdio.h>
#include <string.h>

static const char summary[] =
    "Runs the tasks of one machine for the controllers of the cluster scheduler: it reports,\n"
    "obeys the controller with the highest token, and decides nothing.";

static void controller_clear(void *item)
{
    struct agent_controller *controller = item;
    g_free(controller->name);
    g_free(controller->endpoint);
}

/* NAME=ADDRESS:PORT, each. */
static bool parse_controllers(char **words, GArray *controllers)
{
    for (; words != NULL && *words != NULL; words++) {
        const char *equals = strchr(*words, '=');
        if (equals == NULL || equals == *words || !ow_endpoint_is_valid(equals + 1)) {
            fprintf(stderr, "ospreywell-agent: %s: is not NAME=ADDRESS:PORT\n", *words);
            return false;
        }
        struct agent_controller controller = {g_strndup(*words, (gsize)(equals - *words)),
                                              g_strdup(equals + 1)};
        g_array_append_val(controllers, controller);
    }
    return controllers->len > 0;
}

/* What is missing or out of range, or NULL. */
static const char *find_fault(const struct agent_options *options)
{
    if (options->machine == NULL || options->type == NULL || options->zone == NULL)
        return "--machine, --type and --zone are needed";
    if (!ow_endpoint_is_valid(options->listen) || !ow_endpoint_is_valid(options->advertise))
        return "--listen and --advertise must be ADDRESS:PORT";
    if (options->state_dir == NULL || options->jobs_dir == NULL)
        return "--state and --jobs are needed";
    if (options->heartbeat_interval_s <= 0 || options->lease_s <= options->heartbeat_interval_s)
        return "--lease must be longer than --report, and that longer than 0";
    if (options->size.cpus <= 0 || options->size.gpus < 0 || options->size.memory_gb <= 0)
        return "--cpus and --memory must be above 0";
    return NULL;
}

static bool check(struct agent_options *options, char **controllers)
{
    if (options->advertise == NULL)
        options->advertise = g_strdup(options->listen);
    const char *fault = find_fault(options);
    if (fault != NULL)
        fprintf(stderr, "ospreywell-agent: %s\n", fault);
    else if (controllers == NULL)
        fprintf(stderr, "ospreywell-agent: --controller is needed\n");
    return fault == NULL && parse_controllers(controllers, options->controllers);
}

bool agent_options_parse(int argc, char **argv, struct agent_options *options)
{
    gboolean spot = FALSE;
    char **controllers = NULL;
    *options = (struct agent_options){.heartbeat_interval_s = 3, .lease_s = 20};
    options->controllers = g_array_new(FALSE, FALSE, sizeof(struct agent_controller));
    g_array_set_clear_func(options->controllers, controller_clear);
    GOptionEntry entries[] = {
        {"machine", 0, 0, G_OPTION_ARG_STRING, &options->machine, "This machine's name", "NAME"},
        {"type", 0, 0, G_OPTION_ARG_STRING, &options->type, "Its type", "TYPE"},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &options->zone, "Its zone", "ZONE"},
        {"spot", 0, 0, G_OPTION_ARG_NONE, &spot, "It is a spot machine", NULL},
        {"cpus", 0, 0, G_OPTION_ARG_DOUBLE, &options->size.cpus, "Its CPUs", "N"},
        {"gpus", 0, 0, G_OPTION_ARG_DOUBLE, &options->size.gpus, "Its GPUs", "N"},
        {"memory", 0, 0, G_OPTION_ARG_DOUBLE, &options->size.memory_gb, "Its memory in GB", "N"},
        {"listen", 0, 0, G_OPTION_ARG_STRING, &options->listen, "Where commands come in", "ADDRESS:PORT"},
        {"advertise", 0, 0, G_OPTION_ARG_STRING, &options->advertise, "How controllers reach that (the same)",
         "ADDRESS:PORT"},
        {"controller", 0, 0, G_OPTION_ARG_STRING_ARRAY, &controllers, "A controller; may be repeated",
         "NAME=ADDRESS:PORT"},
        {"report", 0, 0, G_OPTION_ARG_DOUBLE, &options->heartbeat_interval_s,
         "Seconds from report to report (3)", "S"},
        {"lease", 0, 0, G_OPTION_ARG_DOUBLE, &options->lease_s, "Seconds that tasks outlive an answer (20)",
         "S"},
        {"state", 0, 0, G_OPTION_ARG_FILENAME, &options->state_dir, "A directory for this agent alone",
         "DIR"},
        {"jobs", 0, 0, G_OPTION_ARG_FILENAME, &options->jobs_dir, "Where job descriptions are", "DIR"},
        {"history", 0, 0, G_OPTION_ARG_FILENAME, &options->history, "Append every event to this file",
         "FILE"},
        {0},
    };
    GError *error = NULL;
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_set_summary(context, summary);
    g_option_context_add_main_entries(context, entries, NULL);
    gboolean ok = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    options->spot = spot;
    if (!ok) {
        fprintf(stderr, "ospreywell-agent: %s\n", error->message);
        g_error_free(error);
    }
    ok = ok && check(options, controllers);
    g_strfreev(controllers);
    return ok;
}

void agent_options_clear(struct agent_options *options)
{
    g_free(options->machine);
    g_free(options->type);
    g_free(options->zone);
    g_free(options->listen);
    g_free(options->advertise);
    g_free(options->state_dir);
    g_free(options->jobs_dir);
    g_free(options->history);
    g_array_free(options->controllers, TRUE);
}
