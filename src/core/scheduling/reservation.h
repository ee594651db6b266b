/* Reservations: the holds of waiting gangs on machines, until there is one for each member. The module owns
 * reservations, and the count of holders of each machine. */
#ifndef OW_CORE_SCHEDULING_RESERVATION_H
#define OW_CORE_SCHEDULING_RESERVATION_H

#include "core/jobs/execution.h"

#include <glib.h>
#include <stdbool.h>

struct ow_reservation {
    double opened_at;   /* when the window to collect holds opened */
    bool closed;        /* the window has closed */
    double short_since; /* since the window closed without a candidate for each member */
    bool stops;         /* work is being stopped for the capacity that is held */
    double stops_at;    /* when that was last considered */
    bool given_up;      /* waited past the limit: the holds are dropped, the place in the queue is kept */
    double again_at;
    GArray *holds; /* of reservation.c */
};

/* Starts the gang if there is capacity for all of it, else updates its holds. */
void ow_reservation_try(struct ow_leader *leader, struct ow_execution *execution);
/* Whether the machine is held for another waiting gang. */
bool ow_reservation_conflicts(const struct ow_execution *execution, const struct ow_machine *machine);
/* Drops the holds on a machine that is gone. `reservation` may be NULL. */
void ow_reservation_forget(struct ow_reservation *reservation, const struct ow_machine *machine);
/* Frees the reservation with its holds. `reservation` may be NULL. */
void ow_reservation_free(struct ow_reservation *reservation);
/* Subtracts the run's holds from the capacity that jobs behind it in the queue see. */
void ow_reservation_apply_holds(struct ow_leader *leader, const struct ow_execution *execution);

#endif
