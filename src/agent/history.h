/* A file to which the agent and the supervisors of its tasks append what happens, a JSON object a line. The
 * times are of the machine's steady clock. */
#ifndef OW_AGENT_HISTORY_H
#define OW_AGENT_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

struct agent_history {
    int fd; /* -1: nothing is recorded */
    const char *machine;
};

/* NULL as `path`: nothing is recorded. False if the file can't be opened. */
bool agent_history_open(struct agent_history *history, const char *path, const char *machine);
/* Appends an event; `format` and what follows are further members, each beginning with a comma. It allocates
   nothing, so that a process just forked may call it. */
void agent_history_add(const struct agent_history *history, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
