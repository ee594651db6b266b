/** @file
 * Polls the machine types from the cloud, and records them for controllers that start while the cloud is
 * down. Invariant: an offer that differs from the one last recorded in this term is written at each poll
 * until a write has succeeded.
 */
#ifndef OW_CORE_LEADER_MACHINE_TYPE_POLLING_H
#define OW_CORE_LEADER_MACHINE_TYPE_POLLING_H

struct ow_leader;
struct ow_machine_type_polling;

/** Creates the state of a polling that has sent no request yet; freed by ow_machine_type_polling_free(). */
struct ow_machine_type_polling *ow_machine_type_polling_new(void);
/** Frees the state; NULL is allowed. */
void ow_machine_type_polling_free(struct ow_machine_type_polling *polling);
/** Requests the machine types from the cloud when that is due, as far as the limit of requests permits. */
void ow_machine_type_polling_tick(struct ow_leader *leader);

#endif
