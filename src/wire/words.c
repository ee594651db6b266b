#include "wire/words.h"

#include <stddef.h>
#include <string.h>

const char *const wire_kinds[] = {"batch", "ensemble", "standing", NULL};
const char *const wire_ranks[] = {"critical", "urgent", "standard", "low", NULL};
const char *const wire_phases[] = {"fetching", "waiting", "running", "flushing", "exited", NULL};
const char *const wire_causes[] = {"",      "done", "halted", "peers",   "incomplete",
                                   "error", "full", "busy",   "unknown", NULL};
const char *const wire_worker_commands[] = {"launch", "stop", "clear", NULL};
const char *const wire_listed_states[] = {"", "booting", "running", "failed", NULL};
const char *const wire_job_states[] = {"queued", "running", "done", "aborted", NULL};

int wire_word_index(const char *const *table, const char *word)
{
    for (int i = 0; word != NULL && table[i] != NULL; i++)
        if (strcmp(table[i], word) == 0)
            return i;
    return -1;
}
