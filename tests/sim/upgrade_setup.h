/**
 * @file
 * Setup for the tests of upgrades: a cluster of controllers of the earlier version, upgraded one by one.
 */
#ifndef OW_TESTS_UPGRADE_SETUP_H
#define OW_TESTS_UPGRADE_SETUP_H

#include "sim_cluster.h"

/** Limits of the key-value store that are announced to upgraded controllers. */
#define UPGRADE_VALUE_KB 0.6
enum { UPGRADE_TXN_OPS = 4 };

/** A cluster with all controllers, of the earlier version, and this number of machines. */
struct sim_cluster *sim_with_old_controllers(int machines);
/** Stops the controller, unless it is down, and starts the new version after this time, with lower limits
 * announced.
 */
void upgrade_controller(struct sim_cluster *cluster, int controller, double away_s);
/** Lowers the limits of the key-value store to the announced ones. */
void lower_limits(struct sim_cluster *cluster);
/** Lets the running tasks end one after the other within about this time, so that progress is recorded
 * repeatedly. */
void end_tasks_gradually(struct sim_cluster *cluster, double within_s);
/** Predicate: whether records of the new format may be written. */
bool format_gate_is_open(struct sim_cluster *cluster, const void *unused);

#endif
