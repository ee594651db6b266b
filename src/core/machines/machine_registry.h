/** @file
 * The machine registry: every machine the leader knows, by name, and whether a machine is heard and usable.
 * It owns the machines; they stay valid until ow_machines_remove() of machine_removal.h.
 *
 * Guards safety rule 4: nothing starts on a machine before its heartbeat under this leader's fencing token.
 */
#ifndef OW_CORE_MACHINES_MACHINE_REGISTRY_H
#define OW_CORE_MACHINES_MACHINE_REGISTRY_H

#include "core/leader/leader_state.h"
#include "core/machine_types.h"
#include "core/machines/machine.h"
#include "model/cloud.h"

#include <stdbool.h>
#include <stdint.h>

/** The machine's type, owned by the controller, NULL while its type is unknown. */
static inline const struct ow_machine_type *ow_machine_type_of(const struct ow_leader *leader,
                                                               const struct ow_machine *machine)
{
    return ow_machine_types_at(leader->core->machine_types, machine->type);
}

/** The machine of this name; NULL if there is none. */
struct ow_machine *ow_machines_find(const struct ow_leader *leader, const char *name);
/** The machine of this name, which is registered without type, zone or address if it is new.
 * @param name copied */
struct ow_machine *ow_machines_find_or_add(struct ow_leader *leader, const char *name);
/** Records address, type and zone, all of which are copied. A NULL or empty `addr` keeps the known address.
 */
void ow_machine_describe(struct ow_leader *leader, struct ow_machine *machine, const char *addr,
                         const char *type, const char *zone, bool spot);
/** Whether a message of any kind came within the last two and a half heartbeat intervals. */
bool ow_machine_heard_recently(const struct ow_leader *leader, const struct ow_machine *machine);
/** Whether no heartbeat came for two and a half heartbeat intervals, even if it answers commands. */
bool ow_machine_is_silent(const struct ow_leader *leader, const struct ow_machine *machine);
/** Whether new tasks may be placed on it now. */
bool ow_machine_is_usable(const struct ow_leader *leader, const struct ow_machine *machine);
/** Whether a launch of this attempt was sent directly and never answered, so that it may still take effect.
 */
bool ow_machine_has_unacknowledged_launch(const struct ow_machine *machine, const struct ow_job *job,
                                          uint32_t task, uint64_t number);
/** Frees a machine: the free function of the registry's array. @param item a struct ow_machine */
void ow_machine_free(void *item);

#endif
