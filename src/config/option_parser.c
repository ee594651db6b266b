#include "config/option_parser.h"

bool ow_option_parser_run(int argc, char **argv, const char *summary, const GOptionEntry *entries,
                          GError **error)
{
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_set_summary(context, summary);
    g_option_context_add_main_entries(context, entries, NULL);
    return g_option_context_parse(context, &argc, &argv, error);
}
