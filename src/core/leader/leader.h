/* The leader's part of a controller: it exists only while this controller holds the key. */
#ifndef OW_CORE_LEADER_LEADER_H
#define OW_CORE_LEADER_LEADER_H

#include "model/worker.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_job;
struct ow_leader;

/* A leader that holds the key under `fencing token`; its phase is not ready before it has read the records.
 */
struct ow_leader *ow_leader_new(struct ow_core *core, uint64_t fencing_token);
/* Frees the leader, its machines and runs; answers still to come are ignored. */
void ow_leader_free(struct ow_leader *leader);
/* Applies a worker's report and answers it. */
void ow_leader_receive_heartbeat(struct ow_leader *leader, uint64_t request,
                                 const struct ow_heartbeat *heartbeat);
/* Applies a committed cancellation: its stops are queued. False while something of the job may still start,
   or before the leader is ready and knows all its tasks. */
bool ow_leader_cancel(struct ow_leader *leader, struct ow_job *job);
/* Does all the work that is due. */
void ow_leader_tick(struct ow_leader *leader);

#endif
