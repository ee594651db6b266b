/** @file
 * Starting the tasks of arrays, one by one.
 *
 * Input: candidates, and the work that waits for the job's image. Result: as many pending tasks bound as
 * there is capacity for, except on machines where fetching the image takes longer than waiting for a
 * machine that has it. Invariant: a job that is starving, or that reclaims its team's quota, doesn't wait
 * for an image.
 */
#ifndef OW_CORE_SCHEDULING_ARRAY_START_H
#define OW_CORE_SCHEDULING_ARRAY_START_H

struct ow_execution;
struct ow_leader;

/** Starts as many pending tasks of an array as the team's limit, the zone rules and the capacity admit. */
void ow_array_start(struct ow_leader *leader, struct ow_execution *execution);

#endif
