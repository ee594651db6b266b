#include "config/command_line.h"

#include "config/config_error.h"
#include "config/option_parser.h"

/* Summary at the top of the --help output. */
static const char summary[] = "Serves as a controller of the cluster scheduler:\n"
                              "  ospreywell --config FILE [--operators FILE]\n"
                              "or talks to one:\n"
                              "  ospreywell submit FILE   hands in a job (JSON; - for standard input)\n"
                              "  ospreywell show ID       tells a job's state, and why it waits\n"
                              "  ospreywell cancel ID     cancels a job\n"
                              "  ospreywell teams         tells what each team runs and waits for\n"
                              "  ospreywell controllers   tells which controllers are alive or suspected\n"
                              "  ospreywell shards        tells who leads each shard, since when and why";

/* --version takes precedence over a client command, and a client command over a settings file. */
static enum ow_action choose_action(const struct ow_command_line *command_line, bool is_version,
                                    bool is_check)
{
    if (is_version)
        return OW_ACTION_VERSION;
    if (command_line->client_args != NULL)
        return OW_ACTION_CLIENT;
    return is_check ? OW_ACTION_CHECK : OW_ACTION_SERVE;
}

bool ow_command_line_parse(int argc, char **argv, struct ow_command_line *out, GError **error)
{
    gboolean is_check = FALSE;
    gboolean is_version = FALSE;
    *out = (struct ow_command_line){0};
    const GOptionEntry entries[] = {
        {"config", 0, 0, G_OPTION_ARG_FILENAME, &out->config, "Settings file of the platform (TOML)", "FILE"},
        {"operators", 0, 0, G_OPTION_ARG_FILENAME, &out->operators, "Settings file of the operators (XML)",
         "FILE"},
        {"check", 0, 0, G_OPTION_ARG_NONE, &is_check, "Check the settings and exit", NULL},
        {"server", 0, 0, G_OPTION_ARG_STRING, &out->server,
         "Endpoint of the controller (default: OSPREYWELL_SERVER)", "ADDRESS:PORT"},
        {"version", 0, 0, G_OPTION_ARG_NONE, &is_version, "Print the version and exit", NULL},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &out->client_args, NULL, "[COMMAND]"},
        {0},
    };
    if (!ow_option_parser_run(argc, argv, summary, entries, error))
        return false;
    if (out->server == NULL)
        out->server = g_strdup(g_getenv("OSPREYWELL_SERVER"));
    out->action = choose_action(out, is_version, is_check);
    bool needs_config = out->action == OW_ACTION_SERVE || out->action == OW_ACTION_CHECK;
    if (needs_config && out->config == NULL) {
        g_set_error_literal(error, OW_CONFIG_ERROR, OW_CONFIG_ERROR_MISSING_FIELD,
                            "--config or a command is required; see --help");
        return false;
    }
    return true;
}

void ow_command_line_clear(struct ow_command_line *command_line)
{
    g_free(command_line->config);
    g_free(command_line->operators);
    g_free(command_line->server);
    g_strfreev(command_line->client_args);
}
