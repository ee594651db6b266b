#include "config/cmdline.h"

#include <glib.h>
#include <stdio.h>

/* What --help says first. */
static const char summary[] = "Serves as a controller of the cluster scheduler:\n"
                              "  ospreywell --config FILE [--operators FILE]\n"
                              "or talks to one:\n"
                              "  ospreywell submit FILE   hands in a job (JSON; - for standard input)\n"
                              "  ospreywell show ID       tells a job's state, and why it waits\n"
                              "  ospreywell cancel ID     cancels a job\n"
                              "  ospreywell teams         tells what each team runs and waits for\n"
                              "  ospreywell controllers   tells which controllers are alive or suspected\n"
                              "  ospreywell shards        tells who leads each shard, since when and why";

int ow_cmdline_parse(int argc, char **argv, struct ow_cmdline *out)
{
    gboolean check = FALSE, version = FALSE;
    *out = (struct ow_cmdline){0};
    GOptionEntry entries[] = {
        {"config", 0, 0, G_OPTION_ARG_FILENAME, &out->config, "The platform's settings (TOML)", "FILE"},
        {"operators", 0, 0, G_OPTION_ARG_FILENAME, &out->operators, "The operators' own settings (XML)",
         "FILE"},
        {"check", 0, 0, G_OPTION_ARG_NONE, &check, "Check the settings and end", NULL},
        {"server", 0, 0, G_OPTION_ARG_STRING, &out->server,
         "The controller to talk to (or OSPREYWELL_SERVER)", "ADDRESS:PORT"},
        {"version", 0, 0, G_OPTION_ARG_NONE, &version, "Tell the version and end", NULL},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &out->words, NULL, "[COMMAND]"},
        {0},
    };
    GError *error = NULL;
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_set_summary(context, summary);
    g_option_context_add_main_entries(context, entries, NULL);
    gboolean ok = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!ok) {
        fprintf(stderr, "ospreywell: %s\n", error->message);
        g_error_free(error);
        return OW_CMDLINE_USAGE;
    }
    if (out->server == NULL)
        out->server = g_strdup(g_getenv("OSPREYWELL_SERVER"));
    if (version)
        out->action = OW_ACTION_VERSION;
    else if (out->words != NULL)
        out->action = OW_ACTION_CLIENT;
    else if (out->config == NULL) {
        fprintf(stderr, "ospreywell: --config or a command is needed; see --help\n");
        return OW_CMDLINE_USAGE;
    } else
        out->action = check ? OW_ACTION_CHECK : OW_ACTION_SERVE;
    return 0;
}

void ow_cmdline_clear(struct ow_cmdline *cmdline)
{
    g_free(cmdline->config);
    g_free(cmdline->operators);
    g_free(cmdline->server);
    g_strfreev(cmdline->words);
}
