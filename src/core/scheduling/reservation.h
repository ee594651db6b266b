/** @file
 * Reservation of a waiting gang: the candidate list F_i of each member (docs/design/paper.md), as holds on
 * machines.
 *
 * Input: the machines that gang_start.h selects or collects. Result: the holds, and for each machine the
 * number of gangs that hold it (`gang_holds`), by which conflicts are recognised. The module owns both.
 *
 * Invariants: a member holds a machine at most once; `gang_holds` counts each gang with a hold on the machine
 * once; a hold that is not renewed expires after the tuning parameter `hold_life_s`, the paper's time limit
 * of a provider.
 */
#ifndef OW_CORE_SCHEDULING_RESERVATION_H
#define OW_CORE_SCHEDULING_RESERVATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** Purpose of a hold. */
enum ow_hold_kind {
    OW_HOLD_SELECTED,  /**< the member is to start there once all members have a machine: reserves capacity */
    OW_HOLD_CANDIDATE, /**< another machine of the member's candidate list: indicates conflicts and reserves
                          nothing */
};

/** A hold: one member of a gang on one machine. */
struct ow_hold {
    struct ow_machine *machine; /**< not owned */
    uint32_t member;
    enum ow_hold_kind kind;
    double created_at; /**< by the core's clock, in seconds */
};

/** The holds of a waiting gang and the state of its wait. Times are by the core's clock, in seconds. */
struct ow_reservation {
    double window_opened_at; /**< when the window for collecting candidates opened */
    bool is_window_closed;
    double short_since; /**< when the window closed with too few candidates, or the last suspension ended */
    bool is_preempting; /**< work is being stopped to free the capacity that is held */
    double preemption_considered_at; /**< when preemption for the gang was last considered */
    bool is_suspended; /**< waited past the limit: the holds are dropped, the place in the queue is kept */
    double resume_at;  /**< when a suspended gang may hold capacity again */
    GArray *holds;     /**< struct ow_hold, owned */
};

/** The reservation of the execution, created if there is none. Owned by the execution. */
struct ow_reservation *ow_reservation_find_or_add(struct ow_leader *leader, struct ow_execution *execution);
/** Adds a hold on the machine for one member. Does nothing if the member holds the machine already. */
void ow_reservation_add_hold(struct ow_reservation *reservation, struct ow_machine *machine, uint32_t member,
                             enum ow_hold_kind kind, double now);
/** Drops all holds; the gang no longer counts in `gang_holds` of any machine. */
void ow_reservation_drop_holds(struct ow_reservation *reservation);
/** Drops the holds that are at least `hold_life_s` old. */
void ow_reservation_drop_expired_holds(const struct ow_leader *leader, struct ow_reservation *reservation);
/** Whether another waiting gang holds the machine: a concurrent conflict in docs/design/paper.md. */
bool ow_reservation_has_conflict(const struct ow_execution *execution, const struct ow_machine *machine);
/** Drops the holds on a machine that is being removed. `reservation` may be NULL. */
void ow_reservation_remove_machine(struct ow_reservation *reservation, const struct ow_machine *machine);
/** Drops the holds and frees the reservation. `reservation` may be NULL. */
void ow_reservation_free(struct ow_reservation *reservation);

#endif
