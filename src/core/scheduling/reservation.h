/** @file
 * Reservations: the holds of waiting gangs on machines, until there is one for each member. The module owns
 * reservations, and the count of holders of each machine; gang_start.h decides what is held.
 */
#ifndef OW_CORE_SCHEDULING_RESERVATION_H
#define OW_CORE_SCHEDULING_RESERVATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** Capacity for one member of a gang on a machine. */
struct ow_hold {
    struct ow_machine *machine;
    uint32_t member;
    bool picked; /* what the gang would start on, if there were enough of it; else a further candidate */
    double made_at;
};

/** What a waiting gang holds, and since when it waits. */
struct ow_reservation {
    double opened_at;   /* when the window to collect holds opened */
    bool closed;        /* the window has closed */
    double short_since; /* since the window closed without a candidate for each member */
    bool stops;         /* work is being stopped for the capacity that is held */
    double stops_at;    /* when that was last considered */
    bool given_up;      /* waited past the limit: the holds are dropped, the place in the queue is kept */
    double again_at;
    GArray *holds; /* struct ow_hold */
};

/** The reservation of the execution, which is opened if there is none; the execution keeps it. */
struct ow_reservation *ow_reservation_find_or_add(struct ow_leader *leader, struct ow_execution *execution);
/** Holds the machine for one member, unless the member holds it already. `picked`: as `struct ow_hold` says.
 */
void ow_reservation_add_hold(struct ow_reservation *reservation, struct ow_machine *machine, uint32_t member,
                             bool picked, double now);
/** Drops all holds. */
void ow_reservation_drop_holds(struct ow_reservation *reservation);
/** Drops the holds that are older than the tuning parameters allow. */
void ow_reservation_drop_old_holds(const struct ow_leader *leader, struct ow_reservation *reservation);
/** Whether the machine is held for another waiting gang. */
bool ow_reservation_conflicts(const struct ow_execution *execution, const struct ow_machine *machine);
/** Drops the holds on a machine that is gone. `reservation` may be NULL. */
void ow_reservation_forget(struct ow_reservation *reservation, const struct ow_machine *machine);
/** Frees the reservation with its holds. `reservation` may be NULL. */
void ow_reservation_free(struct ow_reservation *reservation);

#endif
