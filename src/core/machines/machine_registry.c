/* The machine registry: what is known of every machine. */
#include "core/machines/machine_registry.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/run.h"
#include "core/scheduling/reservation.h"

#include <string.h>

struct ow_machine *ow_machines_find(const struct ow_leader *leader, const char *name)
{
    return g_hash_table_lookup(leader->machines_by_name, name);
}

struct ow_machine *ow_machines_find_or_add(struct ow_leader *leader, const char *name)
{
    struct ow_machine *m = ow_machines_find(leader, name);
    if (m != NULL)
        return m;
    m = g_new0(struct ow_machine, 1);
    m->name = g_strdup(name);
    m->type = m->zone = OW_NO_NAME;
    m->slowness = 1;
    m->rented_at = m->idle_since = m->met_at = leader->controller->now;
    m->attempts = g_ptr_array_new();
    m->direct_launches = g_array_new(FALSE, FALSE, sizeof(struct ow_unacknowledged_launch));
    m->unacknowledged_launches = g_array_new(FALSE, FALSE, sizeof(struct ow_unacknowledged_launch));
    m->images = g_array_new(FALSE, FALSE, sizeof(struct ow_image_copy));
    g_hash_table_insert(leader->machines_by_name, m->name, m);
    g_ptr_array_add(leader->machines, m);
    return m;
}

void ow_machine_free(void *machine)
{
    struct ow_machine *m = machine;
    g_free(m->name);
    g_free(m->addr);
    g_ptr_array_free(m->attempts, TRUE);
    g_array_free(m->direct_launches, TRUE);
    g_array_free(m->unacknowledged_launches, TRUE);
    g_array_free(m->images, TRUE);
    g_free(m);
}

void ow_machine_describe(struct ow_leader *leader, struct ow_machine *m, const char *addr, const char *type,
                         const char *zone, bool spot)
{
    if (addr != NULL && *addr != '\0' && g_strcmp0(addr, m->addr) != 0) {
        g_free(m->addr);
        m->addr = g_strdup(addr);
    }
    m->type = ow_names_add(leader->controller->names.types, type);
    m->zone = ow_names_add(leader->controller->names.zones, zone);
    m->spot = spot;
}

void ow_machines_remove(struct ow_leader *leader, struct ow_machine *m, const char *proof)
{
    while (m->attempts->len > 0)
        ow_attempt_end(leader, g_ptr_array_index(m->attempts, 0), OW_CAUSE_NONE, proof);
    for (guint i = 0; i < leader->runs->len; i++) {
        struct ow_run *run = g_ptr_array_index(leader->runs, i);
        g_hash_table_remove(run->bad_machines, m);
        ow_reservation_forget(run->reservation, m);
    }
    g_hash_table_remove(leader->machines_by_name, m->name);
    g_ptr_array_remove_fast(leader->machines, m);
    leader->pass.due = true;
}

bool ow_machine_heard_recently(const struct ow_leader *leader, const struct ow_machine *m)
{
    return leader->controller->now - m->last_message_at < 2.5 * leader->controller->settings->report_s;
}

bool ow_machine_stopped_reporting(const struct ow_leader *leader, const struct ow_machine *m)
{
    /* Answers to commands fence a machine at a take-over before its next report comes. */
    double since = MAX(MAX(m->last_report_at, m->met_at), leader->ready_at);
    return leader->controller->now - since > 2.5 * leader->controller->settings->report_s;
}

bool ow_machine_is_usable(const struct ow_leader *leader, const struct ow_machine *m)
{
    double now = leader->controller->now;
    /* No launch before its report under our own token, nor on one that has fallen silent, answers commands
       but does not report (its lease runs out), or is unresponsive, is about to be taken, or is being
       returned.
     */
    return m->fenced && m->session > m->dead_session && ow_machine_spec(leader, m) != NULL &&
           m->addr != NULL && ow_machine_heard_recently(leader, m) &&
           !ow_machine_stopped_reporting(leader, m) && m->unanswered_since == 0 && m->reclaimed_at == 0 &&
           !m->deleting && now >= MAX(m->quarantine_until, m->suspect_until);
}

bool ow_machine_has_unacknowledged_launch(const struct ow_machine *m, const struct ow_job *job, uint32_t task,
                                          uint64_t number)
{
    const GArray *lists[] = {m->direct_launches, m->unacknowledged_launches};
    for (int l = 0; l < 2; l++) {
        for (guint i = 0; i < lists[l]->len; i++) {
            const struct ow_unacknowledged_launch *f =
                &g_array_index(lists[l], struct ow_unacknowledged_launch, i);
            if (f->job == job && f->task == task && f->number == number)
                return true;
        }
    }
    return false;
}

struct ow_image_copy *ow_machine_image(const struct ow_machine *m, int image)
{
    for (guint i = 0; i < m->images->len; i++) {
        struct ow_image_copy *copy = &g_array_index(m->images, struct ow_image_copy, i);
        if (copy->image == image)
            return copy;
    }
    return NULL;
}

static bool image_in_use(const struct ow_machine *m, int image)
{
    for (guint i = 0; i < m->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(m->attempts, i);
        if (at->job->spec->image == image)
            return true;
    }
    return false;
}

/* A guess at what the machine still has: it caches the most recently used images. */
static void forget_old_images(const struct ow_leader *leader, struct ow_machine *m)
{
    const struct ow_machine_type *type = ow_machine_spec(leader, m);
    double limit = type != NULL ? type->cache_gb : 0;
    for (;;) {
        double sum = 0;
        guint oldest = m->images->len;
        for (guint i = 0; i < m->images->len; i++) {
            const struct ow_image_copy *copy = &g_array_index(m->images, struct ow_image_copy, i);
            sum += copy->gb;
            if (image_in_use(m, copy->image))
                continue;
            if (oldest == m->images->len ||
                copy->used_at < g_array_index(m->images, struct ow_image_copy, oldest).used_at)
                oldest = i;
        }
        if (sum <= limit || oldest == m->images->len)
            return;
        g_array_remove_index_fast(m->images, oldest);
    }
}

void ow_machine_image_use(struct ow_leader *leader, struct ow_machine *m, const struct ow_spec *spec,
                          bool present)
{
    struct ow_image_copy *copy = ow_machine_image(m, spec->image);
    if (copy == NULL) {
        double ready_at = leader->controller->now + ow_machine_fetch_seconds(leader, m, spec);
        struct ow_image_copy fresh = {spec->image, spec->submission->image_gb, leader->controller->now,
                                      present, ready_at};
        g_array_append_val(m->images, fresh);
        forget_old_images(leader, m);
        return;
    }
    copy->used_at = leader->controller->now;
    copy->present = copy->present || present;
}

double ow_machine_fetch_seconds(const struct ow_leader *leader, const struct ow_machine *m,
                                const struct ow_spec *spec)
{
    const struct ow_machine_type *type = ow_machine_spec(leader, m);
    const struct ow_image_copy *copy = ow_machine_image(m, spec->image);
    if (copy != NULL && copy->present)
        return 0;
    if (copy != NULL)
        return MAX(0.5, copy->ready_at - leader->controller->now);
    /* Fetches under way share the machine's rate. */
    double gb = spec->submission->image_gb;
    for (guint i = 0; i < m->images->len; i++) {
        const struct ow_image_copy *other = &g_array_index(m->images, struct ow_image_copy, i);
        if (!other->present && other->ready_at > leader->controller->now)
            gb += MIN(other->gb, (other->ready_at - leader->controller->now) *
                                     (type != NULL ? type->fetch_gb_per_s : 0));
    }
    return type != NULL && type->fetch_gb_per_s > 0 ? gb / type->fetch_gb_per_s : 60;
}
