#include "log_capture.h"

#include <glib.h>
#include <string.h>

static GString *lines;

static GLogWriterOutput capture_line(GLogLevelFlags level, const GLogField *fields, gsize count,
                                     gpointer owner)
{
    (void)owner;
    for (gsize i = 0; i < count; i++)
        if (strcmp(fields[i].key, "MESSAGE") == 0)
            g_string_append_printf(lines, "%s %s\n", level == G_LOG_LEVEL_WARNING ? "warning" : "info",
                                   (const char *)fields[i].value);
    return G_LOG_WRITER_HANDLED;
}

void log_capture_start(void)
{
    lines = g_string_new(NULL);
    g_log_set_writer_func(capture_line, NULL, NULL);
}

void log_capture_clear(void)
{
    g_string_truncate(lines, 0);
}

const char *log_capture_lines(void)
{
    return lines->str;
}

unsigned log_capture_count(const char *phrase)
{
    unsigned count = 0;
    for (const char *at = strstr(lines->str, phrase); at != NULL; at = strstr(at + 1, phrase))
        count++;
    return count;
}
