/** @file
 * Starting the tasks of arrays (ours: the paper has no tasks that start one by one).
 *
 * Input: candidates, and the work that waits for the job's image. Result: as many pending tasks bound as
 * there is capacity for, except on machines where a fetch of the image takes longer than the wait for one
 * that has it. Invariant: a job that starves, or takes back its quota, waits for no image.
 */
#ifndef OW_CORE_SCHEDULING_ARRAY_START_H
#define OW_CORE_SCHEDULING_ARRAY_START_H

struct ow_execution;
struct ow_leader;

/** Starts as many pending tasks of an array as there is capacity for. */
void ow_array_start(struct ow_leader *leader, struct ow_execution *execution);

#endif
