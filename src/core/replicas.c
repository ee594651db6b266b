/* Services: replicas that run until their job is withdrawn, apart from one another. */
#include "core/lead_state.h"

#include <math.h>

/* Seconds of a later start that it is worth to keep a replica off a machine, and out of a zone, where another
   one of its service is: one loss is to take few. */
static const double MACHINE_S = 60, ZONE_S = 4;
/* Replicas of one service that are moved at a time. */
enum { MOVES_MOST = 1 };

struct neighbours {
    uint32_t on_machine, in_zone;
};

static struct neighbours neighbours_at(const struct ow_run *run, const struct ow_machine *m)
{
    struct neighbours n = {0};
    for (guint i = 0; i < run->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(run->attempts, i);
        n.on_machine += at->machine == m ? 1 : 0;
        n.in_zone += at->machine->zone == m->zone ? 1 : 0;
    }
    return n;
}

static struct ow_room *best_room(const struct ow_run *run, GArray *rooms, int only)
{
    struct ow_room *best = NULL;
    double least = INFINITY;
    for (guint i = 0; i < rooms->len; i++) {
        struct ow_room *room = &g_array_index(rooms, struct ow_room, i);
        if (room->slots == 0 || (only != OW_NO_NAME && room->machine->zone != only) ||
            ow_place_zone_admits(run, room->machine->zone) == 0)
            continue;
        struct neighbours n = neighbours_at(run, room->machine);
        double cost = room->cost + MACHINE_S * n.on_machine + ZONE_S * n.in_zone;
        if (cost < least) {
            least = cost;
            best = room;
        }
    }
    return best;
}

void ow_replicas_place(struct ow_lead *lead, struct ow_run *run)
{
    uint32_t wanted = ow_team_admits(lead, run->job->spec, ow_run_pending(run));
    if (wanted == 0)
        return;
    GArray *rooms = ow_place_rooms(lead, run);
    int only = run->job->spec->submission->one_zone ? ow_place_best_zone(run, rooms) : OW_NO_NAME;
    uint64_t number = ow_run_next_attempt(run);
    for (; wanted > 0; wanted--) {
        struct ow_room *room = best_room(run, rooms, only);
        if (room == NULL)
            break;
        room->slots--;
        g_info("service %s: replica %u placed on %s", run->job->id, ow_place_next_pending(run),
               room->machine->name);
        ow_place_task(lead, run, ow_place_next_pending(run), number, room->machine);
    }
    g_array_free(rooms, TRUE);
}

/* ---- moves ---- */

static uint32_t not_serving(const struct ow_run *run)
{
    uint32_t serving = 0;
    for (guint i = 0; i < run->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(run->attempts, i);
        serving += at->state == OW_AT_SEEN && at->phase == OW_RUNNING && !at->stop ? 1 : 0;
    }
    return run->count - serving;
}

/* Whether a replica could start elsewhere at once: its image is there. */
static bool has_place(struct ow_lead *lead, const struct ow_run *run)
{
    bool found = false;
    for (guint i = 0; i < lead->machines->len && !found; i++) {
        const struct ow_machine *m = g_ptr_array_index(lead->machines, i);
        const struct ow_image_copy *copy = ow_book_image(m, run->job->spec->image);
        found = copy != NULL && copy->present && ow_place_may(lead, run, m) &&
                ow_place_slots(lead, run->job->spec, m) > 0 && neighbours_at(run, m).on_machine == 0;
    }
    return found;
}

static void move_off(struct ow_lead *lead, struct ow_machine *m)
{
    for (guint i = m->attempts->len; i > 0; i--) {
        if (i > m->attempts->len)
            continue;
        struct ow_attempt *at = g_ptr_array_index(m->attempts, i - 1);
        struct ow_run *run = at->job->run;
        if (!ow_run_is_service(run) || at->stop || ow_job_over(at->job))
            continue;
        /* Room is made sure of first, and few are missed at a time. */
        if (not_serving(run) < MOVES_MOST && has_place(lead, run))
            ow_attempt_stop(lead, at, 0, "its machine is about to go; it moves");
    }
}

void ow_replicas_care(struct ow_lead *lead)
{
    for (guint i = 0; i < lead->machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(lead->machines, i);
        if (m->lost_at > 0)
            move_off(lead, m);
    }
}
