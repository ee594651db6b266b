/** @file
 * Stops and ends attempts, and applies the consequences for the task, its gang, its machine and its class.
 * Any call may end and free further attempts of the same gang.
 */
#ifndef OW_CORE_JOBS_ATTEMPT_END_H
#define OW_CORE_JOBS_ATTEMPT_END_H

#include "model/worker.h"

struct ow_attempt;
struct ow_execution;
struct ow_leader;

/** Ends and frees an attempt that is proven gone, or whose launch was never sent. `proof` is only logged.
 * Other attempts of a gang may end with it. */
void ow_attempt_end(struct ow_leader *leader, struct ow_attempt *attempt, enum ow_exit_cause cause,
                    const char *proof);
/** Decides to stop the attempt with `grace_s` seconds to save its work; a shorter grace replaces a longer
 * one. An attempt whose launch has not been sent ends, and is freed, at once. `reason` is only logged. */
void ow_attempt_stop(struct ow_leader *leader, struct ow_attempt *attempt, double grace_s,
                     const char *reason);
/** Stops all attempts of an execution in one round, each with `grace_s` seconds to save its work. */
void ow_execution_stop(struct ow_leader *leader, struct ow_execution *execution, double grace_s,
                       const char *reason);

#endif
