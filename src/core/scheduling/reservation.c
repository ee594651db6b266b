#include "core/scheduling/reservation.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"

struct ow_reservation *ow_reservation_find_or_add(struct ow_leader *leader, struct ow_execution *execution)
{
    if (execution->reservation != NULL)
        return execution->reservation;
    struct ow_reservation *reservation = g_new0(struct ow_reservation, 1);
    reservation->window_opened_at = leader->core->now;
    reservation->short_since = leader->core->now;
    reservation->holds = g_array_new(FALSE, FALSE, sizeof(struct ow_hold));
    execution->reservation = reservation;
    return reservation;
}

static bool has_hold_on(const struct ow_reservation *reservation, const struct ow_machine *machine)
{
    if (reservation == NULL)
        return false;
    for (guint i = 0; i < reservation->holds->len; i++) {
        if (g_array_index(reservation->holds, struct ow_hold, i).machine == machine)
            return true;
    }
    return false;
}

bool ow_reservation_has_conflict(const struct ow_execution *execution, const struct ow_machine *machine)
{
    unsigned own = has_hold_on(execution->reservation, machine) ? 1 : 0;
    return machine->gang_holds > own;
}

static bool member_holds(const struct ow_reservation *reservation, const struct ow_machine *machine,
                         uint32_t member)
{
    for (guint i = 0; i < reservation->holds->len; i++) {
        const struct ow_hold *hold = &g_array_index(reservation->holds, struct ow_hold, i);
        if (hold->member == member && hold->machine == machine)
            return true;
    }
    return false;
}

void ow_reservation_add_hold(struct ow_reservation *reservation, struct ow_machine *machine, uint32_t member,
                             enum ow_hold_kind kind, double now)
{
    if (member_holds(reservation, machine, member))
        return;
    if (!has_hold_on(reservation, machine))
        machine->gang_holds++;
    struct ow_hold hold = {
        .machine = machine,
        .member = member,
        .kind = kind,
        .created_at = now,
    };
    g_array_append_val(reservation->holds, hold);
}

static void drop_hold(struct ow_reservation *reservation, guint index)
{
    struct ow_machine *machine = g_array_index(reservation->holds, struct ow_hold, index).machine;
    g_array_remove_index_fast(reservation->holds, index);
    if (!has_hold_on(reservation, machine))
        machine->gang_holds--;
}

void ow_reservation_drop_holds(struct ow_reservation *reservation)
{
    while (reservation->holds->len > 0)
        drop_hold(reservation, reservation->holds->len - 1);
}

void ow_reservation_drop_expired_holds(const struct ow_leader *leader, struct ow_reservation *reservation)
{
    for (guint i = reservation->holds->len; i > 0; i--) {
        double created_at = g_array_index(reservation->holds, struct ow_hold, i - 1).created_at;
        if (leader->core->now - created_at >= leader->core->tuning->hold_life_s)
            drop_hold(reservation, i - 1);
    }
}

void ow_reservation_remove_machine(struct ow_reservation *reservation, const struct ow_machine *machine)
{
    if (reservation == NULL)
        return;
    for (guint i = reservation->holds->len; i > 0; i--) {
        if (g_array_index(reservation->holds, struct ow_hold, i - 1).machine == machine)
            drop_hold(reservation, i - 1);
    }
}

void ow_reservation_free(struct ow_reservation *reservation)
{
    if (reservation == NULL)
        return;
    ow_reservation_drop_holds(reservation);
    g_array_free(reservation->holds, TRUE);
    g_free(reservation);
}
