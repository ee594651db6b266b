/* Services: replicas that run until their job is cancelled, kept apart from one another. */
#ifndef OW_CORE_SCHEDULING_SERVICE_REPLICAS_H
#define OW_CORE_SCHEDULING_SERVICE_REPLICAS_H

struct ow_leader;
struct ow_execution;

/* Starts the missing replicas of a service. */
void ow_service_replicas_start(struct ow_leader *leader, struct ow_execution *execution);

#endif
