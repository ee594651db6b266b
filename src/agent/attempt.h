/**
 * @file
 * The identity of an attempt of a task: job, task number and attempt number. Plain data.
 */
#ifndef OW_AGENT_ATTEMPT_H
#define OW_AGENT_ATTEMPT_H

#include <stdint.h>

/** One attempt to run one task of a job. */
struct agent_attempt {
    const char *job;  /**< id of the job; not owned */
    uint32_t task;    /**< number of the task in the job, from 0 */
    uint64_t attempt; /**< increases with every launch of the task */
};

#endif
