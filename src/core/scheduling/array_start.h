/* Starting the tasks of arrays, on machines that have their image if that is worth the wait. */
#ifndef OW_CORE_SCHEDULING_ARRAY_START_H
#define OW_CORE_SCHEDULING_ARRAY_START_H

struct ow_leader;
struct ow_execution;

/* Starts as many pending tasks of an array as there is capacity for. */
void ow_array_start(struct ow_leader *leader, struct ow_execution *execution);

#endif
