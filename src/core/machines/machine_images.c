#include "core/machines/machine_images.h"

#include "core/jobs/attempt.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "model/cloud.h"

/* Assumed remainder of a fetch that is past its expected completion, but not yet reported as complete. */
static const double FETCH_MIN_S = 0.5;
/* Assumed duration of a fetch whose rate is unknown. */
static const double DEFAULT_FETCH_S = 60;

struct ow_image_copy *ow_machine_image_find(const struct ow_machine *machine, int image)
{
    for (guint i = 0; i < machine->load.images->len; i++) {
        struct ow_image_copy *copy = &g_array_index(machine->load.images, struct ow_image_copy, i);
        if (copy->image == image)
            return copy;
    }
    return NULL;
}

static bool is_image_in_use(const struct ow_machine *machine, int image)
{
    for (guint i = 0; i < machine->load.attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i);
        if (attempt->job->spec->image == image)
            return true;
    }
    return false;
}

/* Evicts the least recently used images beyond the size of the machine's cache, except those of its tasks. */
static void evict_unused_images(const struct ow_leader *leader, struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    double limit_gb = type != NULL ? type->cache_gb : 0;
    for (;;) {
        double sum_gb = 0;
        guint oldest = machine->load.images->len;
        for (guint i = 0; i < machine->load.images->len; i++) {
            const struct ow_image_copy *copy = &g_array_index(machine->load.images, struct ow_image_copy, i);
            sum_gb += copy->gb;
            if (is_image_in_use(machine, copy->image))
                continue;
            if (oldest == machine->load.images->len ||
                copy->last_used_at <
                    g_array_index(machine->load.images, struct ow_image_copy, oldest).last_used_at)
                oldest = i;
        }
        if (sum_gb <= limit_gb || oldest == machine->load.images->len)
            return;
        g_array_remove_index_fast(machine->load.images, oldest);
    }
}

void ow_machine_image_note_use(struct ow_leader *leader, struct ow_machine *machine,
                               const struct ow_job_spec *spec, bool present)
{
    struct ow_image_copy *copy = ow_machine_image_find(machine, spec->image);
    if (copy == NULL) {
        double ready_at = leader->core->now + ow_machine_image_fetch_s(leader, machine, spec);
        struct ow_image_copy new_copy = {.image = spec->image,
                                         .gb = spec->submission->image_gb,
                                         .last_used_at = leader->core->now,
                                         .present = present,
                                         .ready_at = ready_at};
        g_array_append_val(machine->load.images, new_copy);
        evict_unused_images(leader, machine);
        return;
    }
    copy->last_used_at = leader->core->now;
    copy->present = copy->present || present;
}

/* Data to transfer before the image is complete: `own_gb` of its own plus the remainder of other fetches in
   progress, since they share the machine's rate. */
static double gb_to_fetch(const struct ow_leader *leader, const struct ow_machine *machine, double own_gb,
                          double gb_per_s)
{
    double sum_gb = own_gb;
    for (guint i = 0; i < machine->load.images->len; i++) {
        const struct ow_image_copy *copy = &g_array_index(machine->load.images, struct ow_image_copy, i);
        double left_s = copy->ready_at - leader->core->now;
        if (!copy->present && left_s > 0)
            sum_gb += MIN(copy->gb, left_s * gb_per_s);
    }
    return sum_gb;
}

double ow_machine_image_fetch_s(const struct ow_leader *leader, const struct ow_machine *machine,
                                const struct ow_job_spec *spec)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    const struct ow_image_copy *copy = ow_machine_image_find(machine, spec->image);
    if (copy != NULL && copy->present)
        return 0;
    if (copy != NULL)
        return MAX(FETCH_MIN_S, copy->ready_at - leader->core->now);
    if (type == NULL || type->fetch_gb_per_s <= 0)
        return DEFAULT_FETCH_S;
    double own_gb = spec->submission->image_gb;
    return gb_to_fetch(leader, machine, own_gb, type->fetch_gb_per_s) / type->fetch_gb_per_s;
}
