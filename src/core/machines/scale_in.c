#include "core/machines/scale_in.h"

#include "core/leader/leader_state.h"
#include "core/machines/fleet.h"
#include "core/machines/headroom.h"
#include "core/machines/machine.h"

/* How long an ordinary machine is kept if it is the only idle one of its kind. */
static const double IDLE_TIMEOUT_S = 25;
/* No idle machine younger than this is terminated: the cloud charges for at least a minute, so an earlier
   termination would save little. */
static const double MIN_LIFETIME_S = 30;
/* A spot machine is kept idle this many times longer than an ordinary one. */
static const double SPOT_TIMEOUT_FACTOR = 2;
/* Weight of the idle share of a kind: a share of 1 / IDLE_SHARE_WEIGHT counts as one idle machine. */
static const double IDLE_SHARE_WEIGHT = 10;

static bool is_idle(const struct ow_machine *machine)
{
    return machine->load.attempts->len == 0 && machine->liveness.is_fenced && !machine->is_terminating &&
           machine->gang_holds == 0;
}

static bool is_same_kind(const struct ow_machine *a, const struct ow_machine *b)
{
    return a->type == b->type && a->spot == b->spot;
}

static unsigned count_of_kind(const GPtrArray *machines, const struct ow_machine *kind)
{
    unsigned count = 0;
    for (guint i = 0; i < machines->len; i++)
        count += is_same_kind(g_ptr_array_index(machines, i), kind) ? 1 : 0;
    return count;
}

/* How long a machine of this kind is kept idle. The more machines of a kind are idle, the less likely each is
   to be needed soon; in a large fleet their share counts instead of their number, so that a short period of
   low load does not terminate most of it. A spot machine costs little to keep. */
static double idle_limit_s(const struct ow_leader *leader, const GPtrArray *unneeded,
                           const struct ow_machine *kind)
{
    unsigned idle = count_of_kind(unneeded, kind);
    unsigned all = count_of_kind(leader->machines, kind);
    double weighted_idle = MIN(idle, IDLE_SHARE_WEIGHT * idle / MAX(all, 1));
    return (kind->spot ? SPOT_TIMEOUT_FACTOR : 1) * IDLE_TIMEOUT_S / MAX(weighted_idle, 1);
}

static bool is_due(const struct ow_leader *leader, const struct ow_machine *machine, double limit_s)
{
    double now = leader->core->now;
    return now - machine->provisioned_at > MIN_LIFETIME_S &&
           now - MAX(machine->load.idle_since, leader->ready_at) > limit_s;
}

void ow_scale_in_tick(struct ow_leader *leader)
{
    g_autoptr(GPtrArray) unneeded = ow_headroom_unneeded(leader, is_idle);
    const struct ow_machine *last = NULL;
    double limit_s = 0;
    for (guint i = 0; i < unneeded->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(unneeded, i);
        /* Machines of one kind mostly follow one another: the limit is computed once for each run of them. */
        if (last == NULL || !is_same_kind(machine, last))
            limit_s = idle_limit_s(leader, unneeded, machine);
        last = machine;
        if (is_due(leader, machine, limit_s))
            ow_fleet_terminate(leader, machine, "the machine is idle");
    }
}
