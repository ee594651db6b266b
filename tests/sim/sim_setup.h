/**
 * @file
 * Simulated clusters in initial states shared by several tests. The caller ends each of them with
 * sim_finish() or sim_free().
 */
#ifndef OW_TESTS_SIM_SETUP_H
#define OW_TESTS_SIM_SETUP_H

#include <stdint.h>

struct sim_cluster;

/** A cluster with all controllers and this number of "big" machines in one zone, 4 s after the start. */
struct sim_cluster *sim_with_machines(int machines);
/** As sim_with_machines(), with this number of machines that can be provisioned. */
struct sim_cluster *sim_with_provisionable_machines(int machines, unsigned provisionable);
/** As sim_with_machines(), with four machines that can be provisioned and a running service "run-1" with this
 * number of replicas. */
struct sim_cluster *sim_with_service(int machines, uint32_t replicas);
/** A cluster with one controller, and without machines. */
struct sim_cluster *sim_with_one_controller(void);
/** A cluster with one controller and this number of "big" machines in one zone, 6 s after the start. */
struct sim_cluster *sim_with_one_controller_and_machines(int machines);
/** A cluster with this number of controllers, and machines that alternate between two zones. */
struct sim_cluster *sim_with_controllers(int controllers, int machines);
/** A cluster divided into the shards "east" and "west", one for each zone, with this number of machines in
 * each. */
struct sim_cluster *sim_with_shards(int machines);
/** Divides a cluster into the shards "east" and "west"; no controller may have been started yet. */
void sim_enable_sharding(struct sim_cluster *cluster);
/** Sets the rates and limits used in the largest deployments. */
void sim_set_largest_limits(struct sim_cluster *cluster);

#endif
