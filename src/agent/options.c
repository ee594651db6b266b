#include "agent/options.h"

#include "config/config_error.h"
#include "config/option_parser.h"
#include "util/endpoint.h"

#include <string.h>

static const double DEFAULT_HEARTBEAT_INTERVAL_S = 3;
static const double DEFAULT_LEASE_S = 20;

/* Summary at the top of the --help output. */
static const char summary[] =
    "Runs the tasks of one machine for the controllers of the cluster scheduler: it reports,\n"
    "obeys the controller with the highest token, and decides nothing.";

static void controller_clear(void *item)
{
    struct agent_controller *controller = item;
    g_free(controller->name);
    g_free(controller->endpoint);
}

/* Sets the error and returns false, so that callers can return the result. */
static bool fail(GError **error, enum ow_config_error code, const char *message)
{
    g_set_error_literal(error, OW_CONFIG_ERROR, (gint)code, message);
    return false;
}

/* Adds a controller for each argument of the form NAME=ADDRESS:PORT; `arguments` is NULL if none is given. */
static bool parse_controllers(char **arguments, GArray *controllers, GError **error)
{
    if (arguments == NULL)
        return fail(error, OW_CONFIG_ERROR_MISSING_FIELD, "--controller is required");
    for (; *arguments != NULL; arguments++) {
        const char *equals = strchr(*arguments, '=');
        if (equals == NULL || equals == *arguments || !ow_endpoint_is_valid(equals + 1)) {
            g_set_error(error, OW_CONFIG_ERROR, OW_CONFIG_ERROR_MALFORMED_VALUE,
                        "%s: must be NAME=ADDRESS:PORT", *arguments);
            return false;
        }
        struct agent_controller controller = {.name = g_strndup(*arguments, (gsize)(equals - *arguments)),
                                              .endpoint = g_strdup(equals + 1)};
        g_array_append_val(controllers, controller);
    }
    return true;
}

/* Validates all options except the controllers. */
static bool validate(const struct agent_options *options, GError **error)
{
    if (options->machine == NULL || options->type == NULL || options->zone == NULL)
        return fail(error, OW_CONFIG_ERROR_MISSING_FIELD, "--machine, --type and --zone are required");
    if (!ow_endpoint_is_valid(options->listen) || !ow_endpoint_is_valid(options->advertise))
        return fail(error, OW_CONFIG_ERROR_MALFORMED_VALUE, "--listen and --advertise must be ADDRESS:PORT");
    if (options->state_dir == NULL || options->jobs_dir == NULL)
        return fail(error, OW_CONFIG_ERROR_MISSING_FIELD, "--state and --jobs are required");
    if (options->heartbeat_interval_s <= 0 || options->lease_s <= options->heartbeat_interval_s)
        return fail(error, OW_CONFIG_ERROR_INCONSISTENT,
                    "--lease must be longer than --report, and --report must be above 0");
    if (options->size.cpus <= 0 || options->size.gpus < 0 || options->size.memory_gb <= 0)
        return fail(error, OW_CONFIG_ERROR_OUT_OF_RANGE,
                    "--cpus and --memory must be above 0, --gpus must not be negative");
    return true;
}

/* Parses the options into `options`, except `is_spot` and `controllers`, which need conversion. */
static bool read_options(int argc, char **argv, struct agent_options *options, gboolean *is_spot,
                         char ***controllers, GError **error)
{
    const GOptionEntry entries[] = {
        {"machine", 0, 0, G_OPTION_ARG_STRING, &options->machine, "Name of the machine", "NAME"},
        {"type", 0, 0, G_OPTION_ARG_STRING, &options->type, "Machine type", "TYPE"},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &options->zone, "Zone of the machine", "ZONE"},
        {"spot", 0, 0, G_OPTION_ARG_NONE, is_spot, "The machine is a spot machine", NULL},
        {"cpus", 0, 0, G_OPTION_ARG_DOUBLE, &options->size.cpus, "Number of CPUs", "N"},
        {"gpus", 0, 0, G_OPTION_ARG_DOUBLE, &options->size.gpus, "Number of GPUs", "N"},
        {"memory", 0, 0, G_OPTION_ARG_DOUBLE, &options->size.memory_gb, "Memory in GB", "N"},
        {"listen", 0, 0, G_OPTION_ARG_STRING, &options->listen, "Endpoint that accepts commands",
         "ADDRESS:PORT"},
        {"advertise", 0, 0, G_OPTION_ARG_STRING, &options->advertise,
         "Endpoint that controllers use (default: --listen)", "ADDRESS:PORT"},
        {"controller", 0, 0, G_OPTION_ARG_STRING_ARRAY, controllers,
         "A controller; may be given more than once", "NAME=ADDRESS:PORT"},
        {"report", 0, 0, G_OPTION_ARG_DOUBLE, &options->heartbeat_interval_s,
         "Seconds between heartbeats (default: 3)", "S"},
        {"lease", 0, 0, G_OPTION_ARG_DOUBLE, &options->lease_s,
         "Seconds that tasks may run without an answer (default: 20)", "S"},
        {"state", 0, 0, G_OPTION_ARG_FILENAME, &options->state_dir,
         "State directory, not shared with other agents", "DIR"},
        {"jobs", 0, 0, G_OPTION_ARG_FILENAME, &options->jobs_dir, "Directory with job descriptions", "DIR"},
        {"history", 0, 0, G_OPTION_ARG_FILENAME, &options->history, "Event log, to which events are appended",
         "FILE"},
        {0},
    };
    return ow_option_parser_run(argc, argv, summary, entries, error);
}

bool agent_options_parse(int argc, char **argv, struct agent_options *options, GError **error)
{
    gboolean is_spot = FALSE;
    g_auto(GStrv) controllers = NULL;
    *options = (struct agent_options){.heartbeat_interval_s = DEFAULT_HEARTBEAT_INTERVAL_S,
                                      .lease_s = DEFAULT_LEASE_S};
    options->controllers = g_array_new(FALSE, FALSE, sizeof(struct agent_controller));
    g_array_set_clear_func(options->controllers, controller_clear);
    if (!read_options(argc, argv, options, &is_spot, &controllers, error))
        return false;
    options->is_spot = is_spot;
    if (options->advertise == NULL)
        options->advertise = g_strdup(options->listen);
    return validate(options, error) && parse_controllers(controllers, options->controllers, error);
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
