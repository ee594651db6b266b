#include "agent/history.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

enum { LINE_BYTES = 512, FILE_MODE = 0644 };

bool agent_history_open(struct agent_history *history, const char *path, const char *machine)
{
    history->machine = machine;
    history->fd = path != NULL ? open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE) : -1;
    return path == NULL || history->fd >= 0;
}

void agent_history_add(const struct agent_history *history, const char *event, const char *format, ...)
{
    char line[LINE_BYTES];
    struct timespec now;
    if (history->fd < 0)
        return;
    clock_gettime(CLOCK_MONOTONIC, &now);
    int size = snprintf(line, sizeof line, "{\"t\":%lld.%09ld,\"machine\":\"%s\",\"event\":\"%s\"",
                        (long long)now.tv_sec, now.tv_nsec, history->machine, event);
    va_list arguments;
    va_start(arguments, format);
    if (size > 0 && size < LINE_BYTES)
        size += vsnprintf(line + size, sizeof line - (size_t)size, format, arguments);
    va_end(arguments);
    if (size < 0 || size + 2 >= LINE_BYTES)
        return;
    line[size++] = '}';
    line[size++] = '\n';
    /* One write a line: lines of several processes don't mix. */
    if (write(history->fd, line, (size_t)size) != size)
        fprintf(stderr, "ospreywell-agent: the history can't be written\n");
}
