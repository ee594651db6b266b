/**
 * @file
 * Which attempt of which task: the identity of everything that runs on a machine. Plain data.
 */
#ifndef OW_AGENT_ATTEMPT_H
#define OW_AGENT_ATTEMPT_H

#include <stdint.h>

/** One attempt to run one task of a job. */
struct agent_attempt {
    const char *job;  /**< the job's id; not owned */
    uint32_t task;    /**< its number in the job, from 0 */
    uint64_t attempt; /**< grows with every launch of the task */
};

#endif
