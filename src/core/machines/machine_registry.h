/** @file
 * The machine registry: every machine known to the leader, by name, with predicates for liveness and
 * usability. It owns the machines; they stay valid until ow_machines_remove() of machine_removal.h.
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

/** Returns the machine's type, owned by the controller; NULL while it is unknown. */
static inline const struct ow_machine_type *ow_machine_type_of(const struct ow_leader *leader,
                                                               const struct ow_machine *machine)
{
    return ow_machine_types_at(leader->core->machine_types, machine->type);
}

/** Returns the machine of this name, owned by the registry; NULL if there is none. */
struct ow_machine *ow_machines_find(const struct ow_leader *leader, const char *name);
/** Returns the machine of this name; registers it without type, zone and address if it is not known yet.
 * @param name copied */
struct ow_machine *ow_machines_find_or_add(struct ow_leader *leader, const char *name);
/** Sets address, type, zone and kind; strings are copied. A NULL or empty `addr` keeps the known address. */
void ow_machine_describe(struct ow_leader *leader, struct ow_machine *machine, const char *addr,
                         const char *type, const char *zone, bool spot);
/** Whether a message of any kind arrived within the last 2.5 heartbeat intervals. */
bool ow_machine_heard_recently(const struct ow_leader *leader, const struct ow_machine *machine);
/** Whether no heartbeat has arrived for 2.5 heartbeat intervals, even if the machine answers commands. */
bool ow_machine_is_silent(const struct ow_leader *leader, const struct ow_machine *machine);
/** Whether new tasks may be placed on the machine now. */
bool ow_machine_is_usable(const struct ow_leader *leader, const struct ow_machine *machine);
/** Whether a launch of this attempt was sent directly and has not been answered, so that it may still take
 * effect. */
bool ow_machine_has_unacknowledged_launch(const struct ow_machine *machine, const struct ow_job *job,
                                          uint32_t task, uint64_t number);
/** Frees a machine: the free function of the registry's array. @param item a struct ow_machine */
void ow_machine_free(void *item);

#endif
