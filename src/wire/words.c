#include "wire/words.h"

#include "model/cloud.h"
#include "model/submission.h"
#include "model/worker.h"

#include <stddef.h>
#include <string.h>

const char *const wire_job_kinds[] = {
    [OW_KIND_ARRAY] = "batch",
    [OW_KIND_GANG] = "ensemble",
    [OW_KIND_SERVICE] = "standing",
    NULL,
};

const char *const wire_job_ranks[] = {
    [OW_RANK_CRITICAL] = "critical",
    [OW_RANK_URGENT] = "urgent",
    [OW_RANK_STANDARD] = "standard",
    [OW_RANK_LOW] = "low",
    NULL,
};

const char *const wire_task_phases[] = {
    [OW_PHASE_FETCHING] = "fetching",      [OW_PHASE_WAITING] = "waiting", [OW_PHASE_RUNNING] = "running",
    [OW_PHASE_CHECKPOINTING] = "flushing", [OW_PHASE_EXITED] = "exited",   NULL,
};

const char *const wire_exit_causes[] = {
    [OW_CAUSE_NONE] = "", /* the field is absent */
    [OW_CAUSE_DONE] = "done",
    [OW_CAUSE_STOPPED] = "halted",
    [OW_CAUSE_PEERS] = "peers",
    [OW_CAUSE_INCOMPLETE] = "incomplete",
    [OW_CAUSE_ERROR] = "error",
    [OW_CAUSE_FULL] = "full",
    [OW_CAUSE_BUSY] = "busy",
    [OW_CAUSE_UNKNOWN] = "unknown",
    NULL,
};

const char *const wire_worker_commands[] = {
    [OW_WORKER_LAUNCH] = "launch",
    [OW_WORKER_STOP] = "stop",
    [OW_WORKER_CLEAR] = "clear",
    NULL,
};

const char *const wire_listed_states[] = {
    [OW_LISTED_ABSENT] = "", /* never in a list */
    [OW_LISTED_BOOTING] = "booting", [OW_LISTED_RUNNING] = "running", [OW_LISTED_FAILED] = "failed", NULL,
};

const char *const wire_job_states[] = {
    [OW_JOB_QUEUED] = "queued",
    [OW_JOB_RUNNING] = "running",
    [OW_JOB_DONE] = "done",
    [OW_JOB_CANCELLED] = "aborted",
    NULL,
};

int wire_word_index(const char *const *words, const char *word)
{
    for (int i = 0; word != NULL && words[i] != NULL; i++)
        if (strcmp(words[i], word) == 0)
            return i;
    return -1;
}
