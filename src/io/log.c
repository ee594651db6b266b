#include "io/log.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

/* The one global: GLib's writer has no room for an owner. */
static GLogLevelFlags shown =
    G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING | G_LOG_LEVEL_MESSAGE;

static const char *level_word(GLogLevelFlags level)
{
    if (level & G_LOG_LEVEL_DEBUG)
        return "debug";
    return level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE) ? "info" : "error";
}

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
    (void)data;
    if ((level & shown) == 0)
        return G_LOG_WRITER_HANDLED;
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") != 0)
            continue;
        GString *line = g_string_new(level_word(level));
        g_string_append_printf(line, " %s\n", (const char *)fields[i].value);
        /* A log that can't be written must not stop the service. */
        ssize_t written = write(STDERR_FILENO, line->str, line->len);
        (void)written;
        g_string_free(line, TRUE);
    }
    return G_LOG_WRITER_HANDLED;
}

void ow_log_setup(const char *level)
{
    if (g_strcmp0(level, "info") == 0 || g_strcmp0(level, "debug") == 0)
        shown |= G_LOG_LEVEL_INFO;
    if (g_strcmp0(level, "debug") == 0)
        shown |= G_LOG_LEVEL_DEBUG;
    g_log_set_writer_func(write_line, NULL, NULL);
}
