/* The leader's part of a controller: it exists only while this controller holds the key. */
#ifndef OW_CORE_LEADER_H
#define OW_CORE_LEADER_H

#include "core/effects.h"

struct ow_controller;
struct ow_job;
struct ow_leader;

struct ow_leader *ow_leader_new(struct ow_controller *controller, uint64_t token);
void ow_leader_free(struct ow_leader *leader);
/* Takes a worker's report and answers it. */
void ow_leader_report(struct ow_leader *leader, uint64_t request, const struct ow_report *report);
/* Takes a committed cancellation in: its stops are queued. False while something of the job may still start,
   or while its tasks are not all in our hands. */
bool ow_leader_cancel(struct ow_leader *leader, struct ow_job *job);
/* Jobs have changed: a scheduling pass is due. */
void ow_leader_wake(struct ow_leader *leader);
void ow_leader_tick(struct ow_leader *leader);

#endif
