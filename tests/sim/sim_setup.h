/**
 * @file
 * Simulated clusters in the initial states that several tests share. The caller ends each of them with
 * sim_finish() or sim_free().
 */
#ifndef OW_TESTS_SIM_SETUP_H
#define OW_TESTS_SIM_SETUP_H

#include <stdint.h>

struct sim_cluster;

/** A cluster with all controllers and as many large machines in one zone, some seconds after the start. */
struct sim_cluster *sim_with_machines(int machines);
/** The same, with as many machines that can be provisioned. */
struct sim_cluster *sim_with_provisionable_machines(int machines, unsigned provisionable);
/** The same, with four machines that can be provisioned, and with the replicas of the service "run-1". */
struct sim_cluster *sim_with_service(int machines, uint32_t replicas);
/** A cluster with one controller, and without machines. */
struct sim_cluster *sim_with_one_controller(void);
/** A cluster with one controller and as many large machines in one zone, some seconds after the start. */
struct sim_cluster *sim_with_one_controller_and_machines(int machines);
/** A cluster with as many controllers, and machines that alternate between two zones. */
struct sim_cluster *sim_with_controllers(int controllers, int machines);
/** A cluster divided into the shards "east" and "west", one for each zone, with as many machines in each. */
struct sim_cluster *sim_with_shards(int machines);
/** Divides a cluster of which no controller runs yet, into the shards "east" and "west". */
void sim_enable_sharding(struct sim_cluster *cluster);
/** Sets the rates and limits of the largest deployments. */
void sim_set_largest_limits(struct sim_cluster *cluster);

#endif
