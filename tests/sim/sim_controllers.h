/**
 * @file
 * The controllers of the simulated cluster: real shard managers, without the daemon around them. Tests kill,
 * restart and freeze them and break their links here; the fields of struct sim_cluster under "Controllers"
 * inject the other failures. A controller is identified by its number from 0 to SIM_CONTROLLERS - 1.
 */
#ifndef OW_TESTS_SIM_CONTROLLERS_H
#define OW_TESTS_SIM_CONTROLLERS_H

#include <glib.h>
#include <stdint.h>

struct sim_cluster;

/** Starts a controller that is down, as a new process with a new nonce. */
void sim_start_controller(struct sim_cluster *cluster, int controller);
/** Starts every controller that is down. */
void sim_start_controllers(struct sim_cluster *cluster);
/** Kills a controller that is up; events in flight to its process are lost. */
void sim_kill_controller(struct sim_cluster *cluster, int controller);
/** Kills every controller that is up. */
void sim_kill_controllers(struct sim_cluster *cluster);
/** Notifies one controller that its link to another is lost. */
void sim_break_peer_link(struct sim_cluster *cluster, int controller, int other);
/** Pauses the controller's process; events for it stay queued. */
void sim_freeze_controller(struct sim_cluster *cluster, int controller);
/** Resumes a frozen process and passes it the length of the pause; no effect if it is not frozen. */
void sim_thaw_controller(struct sim_cluster *cluster, int controller);
/** The highest fencing token under which the controller, which must be up, leads; 0 if it does not lead. */
uint64_t sim_fencing_token(const struct sim_cluster *cluster, int controller);
/** The controller that leads the shard of this index with the highest fencing token, or -1. */
int sim_shard_leader(const struct sim_cluster *cluster, guint shard);
/** The controller that leads with the highest fencing token, or -1. */
int sim_leader(const struct sim_cluster *cluster);
/** A controller that does not lead. */
int sim_follower(const struct sim_cluster *cluster);

#endif
