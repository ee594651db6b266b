/* Setup for the tests of upgrades. */
#include "upgrade_setup.h"

#include "model/records.h"
#include "model/worker.h"

static void set_all_old(struct sim_cluster *cluster, bool old)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        cluster->runs_old_version[i] = old;
}

/* Announces lower limits in the settings of the upgraded controllers; the earlier version can't read them. */
static void announce(struct sim_cluster *cluster, double value_kb, unsigned txn_ops)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        cluster->settings[i].next_value_kb =
            cluster->runs_old_version[i] ? cluster->settings[i].value_kb : value_kb;
        cluster->settings[i].next_txn_ops =
            cluster->runs_old_version[i] ? cluster->settings[i].txn_ops : txn_ops;
    }
}

void upgrade_controller(struct sim_cluster *cluster, int controller, double away_s)
{
    if (cluster->controllers[controller] != NULL)
        sim_kill_controller(cluster, controller);
    sim_run(cluster, away_s);
    cluster->runs_old_version[controller] = false;
    announce(cluster, UPGRADE_VALUE_KB, UPGRADE_TXN_OPS);
    sim_start_controller(cluster, controller);
}

struct sim_cluster *sim_with_old_controllers(int machines)
{
    struct sim_cluster *cluster = sim_new();
    set_all_old(cluster, true);
    sim_start_controllers(cluster);
    sim_add_machines(cluster, machines);
    sim_run(cluster, 6);
    return cluster;
}

void end_tasks_gradually(struct sim_cluster *cluster, double within_s)
{
    int ended = 0;
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        for (guint k = 0; k < machine->tasks->len; k++) {
            struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, k);
            if (task->phase == OW_PHASE_RUNNING)
                task->next_phase_at = cluster->now + 1 + 0.01 * within_s * (ended++ % 100);
        }
    }
}

bool format_gate_is_open(struct sim_cluster *cluster, const void *unused)
{
    (void)unused;
    return sim_read_value(cluster, OW_KEY_FORMAT) != NULL;
}

void lower_limits(struct sim_cluster *cluster)
{
    cluster->value_kb = UPGRADE_VALUE_KB;
    cluster->txn_ops = UPGRADE_TXN_OPS;
}
