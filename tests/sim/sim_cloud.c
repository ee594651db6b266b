/* The simulated cloud: machine types, and the listing, provisioning and termination of machines. Tests may
 * take it down (`cloud_down`), limit the machines that can be provisioned (`provisionable_machines`) and have
 * requests carried out late (`delay_provisions`, `delay_terminations`);
 * sim_delete_machine() reclaims a machine. */
#include "sim_internal.h"
#include "model/cloud.h"
#include "model/event.h"

#include <string.h>

enum { PAGE_MACHINES = 500 };
/* After this time a controller takes a request for unanswered. */
static const double CLOUD_TIMEOUT_S = 8;

static void add_type(GArray *types, const char *name, double cpus, double gpus)
{
    struct ow_machine_type type = {.name = g_strdup(name),
                                   .size = {cpus, gpus, 64},
                                   .cache_gb = 100,
                                   .fetch_gb_per_s = 1,
                                   .price = 2,
                                   .spot_price = 1,
                                   .boot_s = 5};
    g_array_append_val(types, type);
}

/* The other types are too small for any task. */
static GArray *machine_types(const struct sim_cluster *cluster)
{
    GArray *types = g_array_new(FALSE, TRUE, sizeof(struct ow_machine_type));
    g_array_set_clear_func(types, ow_machine_type_clear);
    for (unsigned i = 0; i < cluster->other_types; i++) {
        g_autofree char *name = g_strdup_printf("small-%u", i);
        add_type(types, name, 0.01, 0);
    }
    add_type(types, "big", 16, 0);
    if (!cluster->gpu_not_offered)
        add_type(types, "gpu", 8, 2);
    return types;
}

/* One page of the list of machines, in the order of creation, after the machine of this name (NULL: the first
 * page). */
static GArray *list_machines(struct sim_cluster *cluster, const char *after, bool *more)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(struct ow_listed_machine));
    g_array_set_clear_func(list, ow_listed_machine_clear);
    bool started = after == NULL;
    *more = false;
    guint count = cluster->machines->len;
    if (cluster->listed_machines_max > 0)
        count = MIN(count, cluster->listed_machines_max);
    for (guint i = 0; i < count && !*more; i++) {
        const struct sim_machine *machine = sim_machine_at(cluster, i);
        if (!started) {
            started = strcmp(machine->name, after) == 0;
            continue;
        }
        *more = list->len == PAGE_MACHINES;
        struct ow_listed_machine listed = {g_strdup(machine->name),
                                           g_strdup(machine->addr),
                                           g_strdup(machine->type),
                                           g_strdup(machine->zone),
                                           machine->spot,
                                           cluster->now < machine->booted_at ? OW_LISTED_BOOTING
                                                                             : OW_LISTED_RUNNING,
                                           10};
        if (machine->deleted || *more)
            ow_listed_machine_clear(&listed);
        else
            g_array_append_val(list, listed);
    }
    return list;
}

static void provision(struct sim_cluster *cluster, const struct ow_cloud_request *request,
                      struct ow_cloud_reply *reply)
{
    GPtrArray *names = g_ptr_array_new();
    for (unsigned i = 0; i < request->count && cluster->provisionable_machines > 0;
         i++, cluster->provisionable_machines--) {
        char name[32];
        g_snprintf(name, sizeof name, "r-%03u", ++cluster->provisioned_machines);
        struct sim_machine *machine =
            sim_add_machine(cluster, name, request->type, request->zone, request->spot);
        machine->booted_at = machine->lease_renewed_at = cluster->now + 5;
        g_ptr_array_add(names, g_strdup(name));
    }
    reply->status = names->len > 0 ? 200 : 503;
    g_ptr_array_add(names, NULL);
    reply->provisioned = (char **)g_ptr_array_free(names, FALSE);
}

static void terminate(struct sim_cluster *cluster, const GPtrArray *names)
{
    for (guint i = 0; i < names->len; i++) {
        struct sim_machine *machine = sim_machine(cluster, g_ptr_array_index(names, i));
        if (machine == NULL)
            continue;
        sim_delete_machine(machine);
    }
}

static bool is_delayed(const struct sim_cluster *cluster, enum ow_cloud_op op)
{
    return (op == OW_CLOUD_PROVISION && cluster->delay_provisions) ||
           (op == OW_CLOUD_TERMINATE && cluster->delay_terminations);
}

static void delay_request(struct sim_cluster *cluster, const struct ow_cloud_request *request)
{
    struct ow_cloud_request *copy = g_new0(struct ow_cloud_request, 1);
    copy->op = request->op;
    copy->type = g_strdup(request->type);
    copy->zone = g_strdup(request->zone);
    copy->spot = request->spot;
    copy->count = request->count;
    copy->machines = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; request->machines != NULL && i < request->machines->len; i++)
        g_ptr_array_add(copy->machines, g_strdup(g_ptr_array_index(request->machines, i)));
    g_ptr_array_add(cluster->delayed_cloud_requests, copy);
}

/* Carries out a request whose sender no longer waits for the answer. */
static void carry_out_late(struct sim_cluster *cluster, const struct ow_cloud_request *request)
{
    struct ow_cloud_reply reply = {0};
    if (request->op == OW_CLOUD_PROVISION)
        provision(cluster, request, &reply);
    else
        terminate(cluster, request->machines);
    ow_cloud_reply_clear(&reply);
}

void sim_cloud_step(struct sim_cluster *cluster)
{
    for (guint i = cluster->delayed_cloud_requests->len; i > 0; i--) {
        const struct ow_cloud_request *request = g_ptr_array_index(cluster->delayed_cloud_requests, i - 1);
        if (is_delayed(cluster, request->op))
            continue;
        carry_out_late(cluster, request);
        g_ptr_array_remove_index(cluster->delayed_cloud_requests, i - 1);
    }
}

static void carry_out(struct sim_cluster *cluster, const struct ow_cloud_request *request,
                      struct ow_cloud_reply *reply)
{
    reply->status = 200;
    switch (request->op) {
    case OW_CLOUD_TYPES:
        reply->types = machine_types(cluster);
        break;
    case OW_CLOUD_LIST:
        reply->listed = list_machines(cluster, request->after, &reply->has_more);
        break;
    case OW_CLOUD_PROVISION:
        provision(cluster, request, reply);
        break;
    case OW_CLOUD_TERMINATE:
        terminate(cluster, request->machines);
        break;
    }
}

void sim_cloud_handle_request(struct sim_cluster *cluster, int controller,
                              const struct ow_cloud_request *request)
{
    struct ow_event *event = ow_event_new(OW_EVENT_CLOUD, request->tag);
    double after_s = 0.1;
    cluster->cloud_requests++;
    if (cluster->cloud_down) {
        event->cloud.status = 503;
    } else if (is_delayed(cluster, request->op)) {
        delay_request(cluster, request);
        after_s = CLOUD_TIMEOUT_S;
    } else {
        carry_out(cluster, request, &event->cloud);
    }
    sim_deliver(cluster, controller, cluster->process_nonce[controller], after_s, event);
}
