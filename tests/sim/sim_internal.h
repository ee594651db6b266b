/** @file Functions shared by the files of the simulated cluster, not for use by tests. */
#ifndef OW_TESTS_SIM_INTERNAL_H
#define OW_TESTS_SIM_INTERNAL_H

#include "sim_cluster.h"
#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/worker.h"

/* sim_cluster.c */

/** Delivers the event, which it takes ownership of, to a process of the controller after this time.
 * @param nonce identifies the process; the event is dropped if another process runs by then. 0: any process.
 */
void sim_deliver(struct sim_cluster *cluster, int controller, uint64_t nonce, double after_s,
                 struct ow_event *event);

/* sim_controllers.c */

/** Gives the controller the settings that all tests start from. */
void sim_settings_init(struct ow_settings *settings, int controller);
/** Frees what sim_settings_init() has allocated. */
void sim_settings_clear(struct ow_settings *settings);
/** Delivers a message to its addressee, or to all peers if it has none. */
void sim_deliver_peer_message(struct sim_cluster *cluster, int from, struct ow_peer_message *message);

/* sim_users.c */

/** Creates the tables of requests and responses. */
void sim_users_init(struct sim_cluster *cluster);
/** Frees the tables of requests and responses. */
void sim_users_clear(struct sim_cluster *cluster);
/** Records the response to a user's request. */
void sim_users_handle_response(struct sim_cluster *cluster, const struct ow_effect *effect);

/* sim_checks.c: each check records a violation if its rule is broken. */

/** The requirements of the job, owned by the cluster; NULL if it was never submitted. */
const struct sim_requirements *sim_requirements_of(struct sim_cluster *cluster, const char *job);
/** Checks that the task launched on machine `launched_on` runs on no other machine. */
void sim_check_runs_once(struct sim_cluster *cluster, struct sim_machine *launched_on,
                         const struct ow_worker_command *command);
/** Checks, when a task of the job starts, that no user was told that the job has ended. */
void sim_check_not_ended(struct sim_cluster *cluster, const char *job);
/** Checks that the tasks of the job's team that have not exited are within the team's limit. */
void sim_check_team_limit(struct sim_cluster *cluster, const char *job);
/** Checks that the job's placement constraints allow a task on this machine. */
void sim_check_placement(struct sim_cluster *cluster, const struct sim_machine *machine, const char *job);
/** Checks that no task runs on the machine more than `cancel_s` after its cancellation was confirmed. */
void sim_check_cancellations(struct sim_cluster *cluster, const struct sim_machine *machine);

/* sim_store.c */

/** Creates the empty store. */
void sim_store_init(struct sim_cluster *cluster);
/** Frees the store with its contents and delayed transactions. */
void sim_store_clear(struct sim_cluster *cluster);
/** Executes a request, or delays it; may take ownership of the request out of the effect. */
void sim_store_handle_request(struct sim_cluster *cluster, int controller, struct ow_effect *effect);
/** Expires leases, releases delayed transactions and answers watches. */
void sim_store_step(struct sim_cluster *cluster);

/* sim_machines.c */

/** Creates the next heartbeat of the machine and increments its sequence number. The caller owns it. */
struct ow_heartbeat *sim_heartbeat_new(struct sim_machine *machine);

/* sim_workers.c */

/** Creates the tables of machines. */
void sim_workers_init(struct sim_cluster *cluster);
/** Frees the machines with their tasks. */
void sim_workers_clear(struct sim_cluster *cluster);
/** Advances the tasks of all workers and sends the heartbeats that are due. */
void sim_workers_step(struct sim_cluster *cluster);
/** The latency of a message between a controller and a worker, in seconds. */
static const double SIM_WORKER_LATENCY_S = 0.01;
/** A heartbeat that reports a change is sent within this time, in seconds. */
static const double SIM_CHANGE_HEARTBEAT_S = 0.5;

/* sim_worker_commands.c */

/** Prepares for delayed commands, and frees them. */
void sim_worker_commands_init(struct sim_cluster *cluster);
void sim_worker_commands_clear(struct sim_cluster *cluster);
/** Whether no message passes between the machine and the controller, in either direction. */
bool sim_worker_is_partitioned(const struct sim_cluster *cluster, const struct sim_machine *machine,
                               int controller);
/** The worker executes commands (struct ow_worker_command) in their order. */
void sim_worker_execute(struct sim_cluster *cluster, struct sim_machine *machine, const GArray *commands);
/** Executes the delayed commands that are no longer to be delayed. */
void sim_worker_release_commands(struct sim_cluster *cluster);
/** Executes direct commands, or delays them; may take ownership of the commands out of the effect. */
void sim_workers_handle_direct_commands(struct sim_cluster *cluster, int controller,
                                        struct ow_effect *effect);
/** Handles the response to a heartbeat; ignored if the worker no longer waits for it. */
void sim_workers_handle_response(struct sim_cluster *cluster, int controller, const struct ow_effect *effect);

/* sim_cloud.c */

/** Carries out the delayed requests that are no longer to be delayed. */
void sim_cloud_step(struct sim_cluster *cluster);
/** Executes a request to the cloud and delivers the response. */
void sim_cloud_handle_request(struct sim_cluster *cluster, int controller,
                              const struct ow_cloud_request *request);

#endif
