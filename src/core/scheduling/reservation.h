/** @file
 * The paper's reservation: the candidate list F_i of each member of a waiting gang, as holds on machines.
 *
 * Input: the machines that gang_start.h selects or collects. Result: the holds, and for each machine how many
 * gangs hold it (`holders`), by which a conflict is recognised. The module owns both.
 * Invariants: a member holds a machine at most once; `holders` counts each gang with a hold on the machine
 * once; a hold not renewed ends after the hold life, the paper's time limit of a provider.
 */
#ifndef OW_CORE_SCHEDULING_RESERVATION_H
#define OW_CORE_SCHEDULING_RESERVATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** What a hold is for. */
enum ow_hold_kind {
    OW_HOLD_SELECTED,  /**< the member would start there if each of the gang had a machine: reserves capacity
                        */
    OW_HOLD_CANDIDATE, /**< another machine of the member's list: shows a conflict and reserves nothing */
};

/** Capacity for one member of a gang on a machine. */
struct ow_hold {
    struct ow_machine *machine; /**< not owned */
    uint32_t member;
    enum ow_hold_kind kind;
    double made_at; /**< by the core's clock, in seconds */
};

/** What a waiting gang holds, and since when it waits. Times are by the core's clock, in seconds. */
struct ow_reservation {
    double window_opened_at; /**< when the window to collect candidates opened */
    bool is_window_closed;
    double short_since;              /**< since the window closed without a candidate for each member */
    bool is_preempting;              /**< work is being stopped for the capacity that is held */
    double preemption_considered_at; /**< when that was last decided */
    bool is_suspended; /**< waited past the limit: the holds are dropped, the place in the queue is kept */
    double resume_at;  /**< when a suspended gang holds again */
    GArray *holds;     /**< struct ow_hold, owned */
};

/** The reservation of the execution, which is opened if there is none; the execution keeps it. */
struct ow_reservation *ow_reservation_find_or_add(struct ow_leader *leader, struct ow_execution *execution);
/** Holds the machine for one member, unless the member holds it already. */
void ow_reservation_add_hold(struct ow_reservation *reservation, struct ow_machine *machine, uint32_t member,
                             enum ow_hold_kind kind, double now);
/** Drops all holds. */
void ow_reservation_drop_holds(struct ow_reservation *reservation);
/** Drops the holds that are older than the tuning parameters allow. */
void ow_reservation_drop_expired_holds(const struct ow_leader *leader, struct ow_reservation *reservation);
/** Whether the machine is held for another waiting gang: the paper's concurrent conflict. */
bool ow_reservation_has_conflict(const struct ow_execution *execution, const struct ow_machine *machine);
/** Drops the holds on a machine that is gone. `reservation` may be NULL. */
void ow_reservation_remove_machine(struct ow_reservation *reservation, const struct ow_machine *machine);
/** Frees the reservation with its holds. `reservation` may be NULL. */
void ow_reservation_free(struct ow_reservation *reservation);

#endif
