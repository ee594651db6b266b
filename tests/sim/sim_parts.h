/* What the files of the simulated cluster share. */
#ifndef OW_TESTS_SIM_PARTS_H
#define OW_TESTS_SIM_PARTS_H

#include "sim_cluster.h"
#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/worker.h"

/* sim_cluster.c */
void sim_deliver(struct sim_cluster *cluster, int controller, uint64_t nonce, double after_s,
                 struct ow_event *event);
struct ow_event *sim_command(enum ow_event_kind kind, uint64_t request);

/* world_users.c */
void sim_users_init(struct sim_cluster *cluster);
void sim_users_clear(struct sim_cluster *cluster);
void sim_users_take_answer(struct sim_cluster *cluster, const struct ow_effect *effect);

/* world_checks.c */
const struct sim_requirements *sim_requirements_of(struct sim_cluster *cluster, const char *job);
void sim_check_twice(struct sim_cluster *cluster, struct sim_machine *here,
                     const struct ow_worker_command *command);
void sim_check_over(struct sim_cluster *cluster, const char *job);
void sim_check_limit(struct sim_cluster *cluster, const char *job);
void sim_check_place(struct sim_cluster *cluster, const struct sim_machine *machine, const char *job);
void sim_check_cancelled(struct sim_cluster *cluster, const struct sim_machine *machine);

/* sim_store.c */
void sim_state_init(struct sim_cluster *cluster);
void sim_state_clear(struct sim_cluster *cluster);
void sim_state_take(struct sim_cluster *cluster, int controller, struct ow_effect *effect);
void sim_state_step(struct sim_cluster *cluster);

/* world_machines.c */
struct ow_heartbeat *sim_make_heartbeat(struct sim_machine *machine);

/* world_workers.c */
void sim_workers_init(struct sim_cluster *cluster);
void sim_workers_clear(struct sim_cluster *cluster);
void sim_workers_step(struct sim_cluster *cluster);
void sim_workers_take_direct(struct sim_cluster *cluster, int controller, struct ow_effect *effect);
void sim_workers_take_answer(struct sim_cluster *cluster, int controller, const struct ow_effect *effect);

/* world_cloud.c */
void sim_cloud_take(struct sim_cluster *cluster, int controller, const struct ow_cloud_request *request);

#endif
