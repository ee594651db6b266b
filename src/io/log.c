#include "io/log.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

/* Levels that are written. Global, because GLib has one log writer per process, which can be set only once.
 */
static GLogLevelFlags shown_levels =
    G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING | G_LOG_LEVEL_MESSAGE;

static const char *level_word(GLogLevelFlags level)
{
    if (level & G_LOG_LEVEL_DEBUG)
        return "debug";
    return level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE) ? "info" : "error";
}

static void write_line(GLogLevelFlags level, const char *message)
{
    g_autofree char *line = g_strdup_printf("%s %s\n", level_word(level), message);
    /* Write errors are ignored: a failing log must not stop the service. */
    ssize_t written = write(STDERR_FILENO, line, strlen(line));
    (void)written;
}

/* Writes the MESSAGE field of a log entry (GLogWriterFunc). */
static GLogWriterOutput write_fields(GLogLevelFlags level, const GLogField *fields, gsize count,
                                     gpointer owner)
{
    (void)owner;
    if ((level & shown_levels) == 0)
        return G_LOG_WRITER_HANDLED;
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0)
            write_line(level, fields[i].value);
    }
    return G_LOG_WRITER_HANDLED;
}

void ow_log_setup(const char *level)
{
    bool is_debug = g_strcmp0(level, "debug") == 0;
    bool is_info = g_strcmp0(level, "info") == 0;
    if (is_info || is_debug)
        shown_levels |= G_LOG_LEVEL_INFO;
    if (is_debug)
        shown_levels |= G_LOG_LEVEL_DEBUG;
    g_log_set_writer_func(write_fields, NULL, NULL);
}
