#include "sharding/operator_report.h"

#include "model/operator_view.h"
#include "sharding/member.h"
#include "wire/sharding_json.h"

/* ---- controllers ---- */

static struct ow_controller_view view_member(const struct ow_member *member, double now)
{
    return (struct ow_controller_view){
        .name = member->name,
        .state = ow_member_state_name(member->state),
        .state_age_s = now - member->state_since,
        .cause = member->cause,
        .phi = ow_phi_detector_phi(&member->detector, now),
        .suspicions = member->suspicions,
        .led_shards = member->led_shards,
    };
}

static struct ow_controllers_view *view_controllers(const struct ow_shard_manager *manager)
{
    const GPtrArray *members = ow_shard_manager_members(manager);
    struct ow_controllers_view *view = ow_controllers_view_new();
    for (guint i = 0; i < members->len; i++) {
        struct ow_controller_view controller =
            view_member(g_ptr_array_index(members, i), ow_shard_manager_now(manager));
        g_array_append_val(view->controllers, controller);
    }
    view->difference = ow_shard_manager_difference(manager);
    view->dropped_messages = ow_shard_manager_dropped_count(manager);
    return view;
}

char *ow_operator_report_controllers(const struct ow_shard_manager *manager)
{
    g_autoptr(ow_controllers_view) view = view_controllers(manager);
    return wire_controllers_encode(view);
}

/* ---- shards ---- */

static GArray *view_steps(const struct ow_failover_log *log, double now)
{
    GArray *views = g_array_new(FALSE, FALSE, sizeof(struct ow_failover_step_view));
    for (guint i = 0; i < log->steps->len; i++) {
        const struct ow_failover_step *step = &g_array_index(log->steps, struct ow_failover_step, i);
        struct ow_failover_step_view view = {
            .phase = ow_failover_phase_name(step->phase),
            .age_s = now - step->began_at,
            .cause = step->cause,
        };
        g_array_append_val(views, view);
    }
    return views;
}

static struct ow_shard_view view_shard(const struct ow_shard_manager *manager, const struct ow_shard *shard)
{
    return (struct ow_shard_view){
        .name = shard->name,
        .phase = ow_failover_phase_name(ow_failover_log_last(&shard->failovers)->phase),
        .fencing_token = shard->status.fencing_token,
        .machines = shard->status.machines,
        .fenced = shard->status.fenced,
        .withheld = shard->withheld,
        .steps = view_steps(&shard->failovers, ow_shard_manager_now(manager)),
        .leader = shard->failovers.leader,
        .successor = ow_shard_manager_successor(manager, shard),
    };
}

static GArray *view_shards(const struct ow_shard_manager *manager)
{
    const GPtrArray *shards = ow_shard_manager_shards(manager);
    GArray *views = ow_shard_views_new();
    for (guint i = 0; i < shards->len; i++) {
        struct ow_shard_view view = view_shard(manager, g_ptr_array_index(shards, i));
        g_array_append_val(views, view);
    }
    return views;
}

char *ow_operator_report_shards(const struct ow_shard_manager *manager)
{
    g_autoptr(GArray) views = view_shards(manager);
    return wire_shards_encode(views);
}
