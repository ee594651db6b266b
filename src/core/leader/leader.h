/** @file
 * The leader of a shard: its creation and destruction, and the order of its work in one step. It exists only
 * while this controller holds the leader key; core.c creates and frees it in the election's callbacks.
 */
#ifndef OW_CORE_LEADER_LEADER_H
#define OW_CORE_LEADER_LEADER_H

#include <stdint.h>

struct ow_core;
struct ow_leader;

/** Creates a leader whose term has this fencing token; it is not ready before it has read the records. Freed
 * by ow_leader_free(); `core` must outlive it. */
struct ow_leader *ow_leader_new(struct ow_core *core, uint64_t fencing_token);
/** Frees the leader with its machines and executions; replies to its pending requests are ignored. */
void ow_leader_free(struct ow_leader *leader);
/** Does all the work that is due. The leader may step down in this call and is then freed: the caller must
 * not use `leader` afterwards. */
void ow_leader_tick(struct ow_leader *leader);

#endif
