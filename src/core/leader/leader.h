/** @file
 * The leader's part of a controller: its life, and the order of its work. It exists only while this
 * controller holds the leader key; the election's owner creates and frees it.
 */
#ifndef OW_CORE_LEADER_LEADER_H
#define OW_CORE_LEADER_LEADER_H

#include <stdint.h>

struct ow_core;
struct ow_leader;

/** A leader that holds the key under `fencing_token`; it is not ready before it has read the records. Freed
 * by ow_leader_free(); `core` must outlive it. */
struct ow_leader *ow_leader_new(struct ow_core *core, uint64_t fencing_token);
/** Frees the leader, its machines and executions; answers still to come are ignored. */
void ow_leader_free(struct ow_leader *leader);
/** Does all the work that is due. It may find that its controller must not lead any more: the election's
 * callback has freed the leader then. */
void ow_leader_tick(struct ow_leader *leader);

#endif
