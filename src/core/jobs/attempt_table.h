/** @file
 * Creates and frees attempts. An attempt exists from its placement until there is proof that it is gone. The
 * module keeps the attempt lists of executions and machines, and the resource sums of machines and teams,
 * consistent with them. attempt_end.h has the consequences of an attempt's end.
 */
#ifndef OW_CORE_JOBS_ATTEMPT_TABLE_H
#define OW_CORE_JOBS_ATTEMPT_TABLE_H

#include <stdint.h>

struct ow_attempt;
struct ow_execution;
struct ow_leader;
struct ow_machine;

/** Creates an attempt in state OW_ATTEMPT_PLANNED and adds its needs to the sums of machine and team. Its
 * execution owns it until ow_attempt_remove() or ow_attempt_end(). */
struct ow_attempt *ow_attempt_new(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                                  uint64_t number, struct ow_machine *machine, uint64_t incarnation);
/** Frees an attempt and takes it out of all sums and lists, without any consequence for its task. */
void ow_attempt_remove(struct ow_leader *leader, struct ow_attempt *attempt);

#endif
