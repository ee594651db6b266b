/* The machine registry: what is known of every machine. */
#include "core/machines/machine_registry.h"
#include "core/jobs/attempt.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "model/cloud.h"
#include "model/worker.h"

#include <string.h>

/* A machine without a message for so many report intervals is silent. */
static const double MISSED_HEARTBEATS = 2.5;
/* A fetch that should be complete but was not reported so takes this long yet; and one at an unknown rate. */
static const double FETCH_LEAST_S = 0.5, UNKNOWN_FETCH_S = 60;

struct ow_machine *ow_machines_find(const struct ow_leader *leader, const char *name)
{
    return g_hash_table_lookup(leader->machines_by_name, name);
}

struct ow_machine *ow_machines_find_or_add(struct ow_leader *leader, const char *name)
{
    struct ow_machine *machine = ow_machines_find(leader, name);
    if (machine != NULL)
        return machine;
    machine = g_new0(struct ow_machine, 1);
    machine->name = g_strdup(name);
    machine->type = machine->zone = OW_NO_NAME;
    machine->slowness = 1;
    machine->provisioned_at = machine->idle_since = machine->liveness.known_since = leader->core->now;
    machine->attempts = g_ptr_array_new();
    machine->direct.launches = g_array_new(FALSE, FALSE, sizeof(struct ow_unacknowledged_launch));
    machine->direct.unacknowledged_launches =
        g_array_new(FALSE, FALSE, sizeof(struct ow_unacknowledged_launch));
    machine->images = g_array_new(FALSE, FALSE, sizeof(struct ow_image_copy));
    g_hash_table_insert(leader->machines_by_name, machine->name, machine);
    g_ptr_array_add(leader->machines, machine);
    return machine;
}

void ow_machine_free(void *item)
{
    struct ow_machine *machine = item;
    g_free(machine->name);
    g_free(machine->addr);
    g_ptr_array_free(machine->attempts, TRUE);
    g_array_free(machine->direct.launches, TRUE);
    g_array_free(machine->direct.unacknowledged_launches, TRUE);
    g_array_free(machine->images, TRUE);
    g_free(machine);
}

void ow_machine_describe(struct ow_leader *leader, struct ow_machine *machine, const char *addr,
                         const char *type, const char *zone, bool spot)
{
    if (addr != NULL && *addr != '\0' && g_strcmp0(addr, machine->addr) != 0) {
        g_free(machine->addr);
        machine->addr = g_strdup(addr);
    }
    machine->type = ow_interner_intern(leader->core->interners.types, type);
    machine->zone = ow_interner_intern(leader->core->interners.zones, zone);
    machine->spot = spot;
}

bool ow_machine_heard_recently(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return leader->core->now - machine->liveness.last_message_at <
           MISSED_HEARTBEATS * leader->core->settings->heartbeat_interval_s;
}

bool ow_machine_is_silent(const struct ow_leader *leader, const struct ow_machine *machine)
{
    /* Answers to commands fence a machine at a failover before its next heartbeat comes. */
    double since =
        MAX(MAX(machine->liveness.last_heartbeat_at, machine->liveness.known_since), leader->ready_at);
    return leader->core->now - since > MISSED_HEARTBEATS * leader->core->settings->heartbeat_interval_s;
}

bool ow_machine_is_usable(const struct ow_leader *leader, const struct ow_machine *machine)
{
    double now = leader->core->now;
    /* No launch before its report under our own fencing token, nor on one that has fallen silent, answers
       commands but does not report (its lease runs out), or is unresponsive, is about to be reclaimed, or is
       being returned. */
    return machine->liveness.is_fenced &&
           machine->liveness.incarnation > machine->liveness.expired_incarnation &&
           ow_machine_type_of(leader, machine) != NULL && machine->addr != NULL &&
           ow_machine_heard_recently(leader, machine) && !ow_machine_is_silent(leader, machine) &&
           machine->liveness.unanswered_since == 0 && machine->reclaim_at == 0 && !machine->is_terminating &&
           now >= MAX(machine->faults.quarantine_until, machine->faults.probation_until);
}

bool ow_machine_has_unacknowledged_launch(const struct ow_machine *machine, const struct ow_job *job,
                                          uint32_t task, uint64_t number)
{
    const GArray *lists[] = {machine->direct.launches, machine->direct.unacknowledged_launches};
    for (guint list = 0; list < G_N_ELEMENTS(lists); list++) {
        for (guint i = 0; i < lists[list]->len; i++) {
            const struct ow_unacknowledged_launch *launch =
                &g_array_index(lists[list], struct ow_unacknowledged_launch, i);
            if (launch->job == job && launch->task == task && launch->number == number)
                return true;
        }
    }
    return false;
}

struct ow_image_copy *ow_machine_image(const struct ow_machine *machine, int image)
{
    for (guint i = 0; i < machine->images->len; i++) {
        struct ow_image_copy *copy = &g_array_index(machine->images, struct ow_image_copy, i);
        if (copy->image == image)
            return copy;
    }
    return NULL;
}

static bool image_in_use(const struct ow_machine *machine, int image)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->job->spec->image == image)
            return true;
    }
    return false;
}

/* A guess at what the machine still has: it caches the most recently used images. */
static void forget_old_images(const struct ow_leader *leader, struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    double limit = type != NULL ? type->cache_gb : 0;
    for (;;) {
        double sum = 0;
        guint oldest = machine->images->len;
        for (guint i = 0; i < machine->images->len; i++) {
            const struct ow_image_copy *copy = &g_array_index(machine->images, struct ow_image_copy, i);
            sum += copy->gb;
            if (image_in_use(machine, copy->image))
                continue;
            if (oldest == machine->images->len ||
                copy->used_at < g_array_index(machine->images, struct ow_image_copy, oldest).used_at)
                oldest = i;
        }
        if (sum <= limit || oldest == machine->images->len)
            return;
        g_array_remove_index_fast(machine->images, oldest);
    }
}

void ow_machine_image_use(struct ow_leader *leader, struct ow_machine *machine,
                          const struct ow_job_spec *spec, bool present)
{
    struct ow_image_copy *copy = ow_machine_image(machine, spec->image);
    if (copy == NULL) {
        double ready_at = leader->core->now + ow_machine_fetch_seconds(leader, machine, spec);
        struct ow_image_copy fresh = {spec->image, spec->submission->image_gb, leader->core->now, present,
                                      ready_at};
        g_array_append_val(machine->images, fresh);
        forget_old_images(leader, machine);
        return;
    }
    copy->used_at = leader->core->now;
    copy->present = copy->present || present;
}

double ow_machine_fetch_seconds(const struct ow_leader *leader, const struct ow_machine *machine,
                                const struct ow_job_spec *spec)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    const struct ow_image_copy *copy = ow_machine_image(machine, spec->image);
    if (copy != NULL && copy->present)
        return 0;
    if (copy != NULL)
        return MAX(FETCH_LEAST_S, copy->ready_at - leader->core->now);
    /* Fetches under way share the machine's rate. */
    double gb = spec->submission->image_gb;
    for (guint i = 0; i < machine->images->len; i++) {
        const struct ow_image_copy *other = &g_array_index(machine->images, struct ow_image_copy, i);
        if (!other->present && other->ready_at > leader->core->now)
            gb += MIN(other->gb,
                      (other->ready_at - leader->core->now) * (type != NULL ? type->fetch_gb_per_s : 0));
    }
    return type != NULL && type->fetch_gb_per_s > 0 ? gb / type->fetch_gb_per_s : UNKNOWN_FETCH_S;
}
