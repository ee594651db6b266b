#include "agent/history.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

/* Maximum size of a line with its terminator, and the mode of a new file. */
enum { LINE_BYTES = 512, FILE_MODE = 0644 };

bool agent_history_open(struct agent_history *history, const char *path, const char *machine)
{
    history->machine = machine;
    history->fd = path != NULL ? open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE) : -1;
    return path == NULL || history->fd >= 0;
}

/* Appends an event; `members` holds additional members of the JSON object, each preceded by a comma. An event
 * whose line would exceed LINE_BYTES is dropped. */
static void append(const struct agent_history *history, const char *event, const char *members)
{
    char line[LINE_BYTES];
    struct timespec now;
    if (history->fd < 0)
        return;
    clock_gettime(CLOCK_MONOTONIC, &now);
    int size = snprintf(line, sizeof line, "{\"t\":%lld.%09ld,\"machine\":\"%s\",\"event\":\"%s\"%s}\n",
                        (long long)now.tv_sec, now.tv_nsec, history->machine, event, members);
    if (size < 0 || size >= LINE_BYTES)
        return;
    /* A single write per line, so that lines of several processes don't interleave. */
    if (write(history->fd, line, (size_t)size) != size)
        fprintf(stderr, "ospreywell-agent: can't append to history file\n");
}

/* Appends an event about the agent itself, with one numeric member. */
static void append_number(const struct agent_history *history, const char *event, const char *key,
                          uint64_t value)
{
    char members[LINE_BYTES];
    snprintf(members, sizeof members, ",\"%s\":%" PRIu64, key, value);
    append(history, event, members);
}

void agent_history_record_incarnation(const struct agent_history *history, uint64_t incarnation)
{
    append_number(history, "session", "session", incarnation);
}

void agent_history_record_lease_expiry(const struct agent_history *history, uint64_t incarnation)
{
    append_number(history, "lease-over", "session", incarnation);
}

void agent_history_record_fencing_token(const struct agent_history *history, uint64_t fencing_token)
{
    append_number(history, "token", "token", fencing_token);
}

void agent_history_record_commands(const struct agent_history *history,
                                   const struct agent_history_commands *commands)
{
    char members[LINE_BYTES];
    snprintf(members, sizeof members,
             ",\"via\":\"%s\",\"token\":%" PRIu64 ",\"seen\":%" PRIu64 ",\"session\":%" PRIu64
             ",\"commands\":%u,\"accepted\":%s",
             commands->via, commands->fencing_token, commands->highest_fencing_token, commands->incarnation,
             commands->count, commands->is_accepted ? "true" : "false");
    append(history, "orders", members);
}

/* Appends an event about an attempt, with one additional numeric member. */
static void append_attempt(const struct agent_history *history, const char *event,
                           const struct agent_attempt *attempt, const char *key, uint64_t value)
{
    char members[LINE_BYTES];
    snprintf(members, sizeof members, ",\"task\":\"%s/%" PRIu32 "\",\"attempt\":%" PRIu64 ",\"%s\":%" PRIu64,
             attempt->job, attempt->task, attempt->attempt, key, value);
    append(history, event, members);
}

void agent_history_record_launch(const struct agent_history *history, const struct agent_attempt *attempt,
                                 uint64_t fencing_token)
{
    append_attempt(history, "launched", attempt, "token", fencing_token);
}

void agent_history_record_exit(const struct agent_history *history, const struct agent_attempt *attempt,
                               enum ow_exit_cause cause)
{
    append_attempt(history, "exited", attempt, "cause", (uint64_t)cause);
}

void agent_history_record_task_start(const struct agent_history *history, const struct agent_attempt *attempt)
{
    append_attempt(history, "task-begins", attempt, "end", AGENT_END_NONE);
}

void agent_history_record_task_end(const struct agent_history *history, const struct agent_attempt *attempt,
                                   enum agent_task_end end)
{
    append_attempt(history, "task-ended", attempt, "end", (uint64_t)end);
}
