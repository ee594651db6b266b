/** @file
 * Polls the machine types from the cloud, and records them for controllers that start while the cloud is
 * down.
 */
#ifndef OW_CORE_LEADER_MACHINE_TYPE_POLLING_H
#define OW_CORE_LEADER_MACHINE_TYPE_POLLING_H

struct ow_leader;
struct ow_machine_type_polling;

/** Nothing has been asked yet; freed by ow_machine_type_polling_free(). */
struct ow_machine_type_polling *ow_machine_type_polling_new(void);
/** Frees it. */
void ow_machine_type_polling_free(struct ow_machine_type_polling *polling);
/** Asks the cloud for the machine types when that is due. */
void ow_machine_type_polling_tick(struct ow_leader *leader);

#endif
