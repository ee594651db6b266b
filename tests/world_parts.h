/* What the files of the simulated cluster share. */
#ifndef OW_TESTS_WORLD_PARTS_H
#define OW_TESTS_WORLD_PARTS_H

#include "world.h"

/* world.c */
void world_deliver(struct world *w, int controller, uint64_t nonce, double after_s, struct ow_event *event);
struct ow_event *world_command(enum ow_event_kind kind, uint64_t request);

/* world_users.c */
void world_users_init(struct world *w);
void world_users_clear(struct world *w);
void world_users_take_answer(struct world *w, const struct ow_effect *effect);

/* world_checks.c */
const struct world_requirements *world_requirements_of(struct world *w, const char *job);
void world_check_twice(struct world *w, struct world_machine *here, const struct ow_worker_command *command);
void world_check_over(struct world *w, const char *job);
void world_check_limit(struct world *w, const char *job);
void world_check_place(struct world *w, const struct world_machine *machine, const char *job);
void world_check_cancelled(struct world *w, const struct world_machine *machine);

/* world_state.c */
void world_state_init(struct world *w);
void world_state_clear(struct world *w);
void world_state_take(struct world *w, int controller, struct ow_effect *effect);
void world_state_step(struct world *w);

/* world_machines.c */
struct ow_heartbeat *world_make_heartbeat(struct world_machine *machine);

/* world_workers.c */
void world_workers_init(struct world *w);
void world_workers_clear(struct world *w);
void world_workers_step(struct world *w);
void world_workers_take_direct(struct world *w, int controller, struct ow_effect *effect);
void world_workers_take_answer(struct world *w, int controller, const struct ow_effect *effect);

/* world_cloud.c */
void world_cloud_take(struct world *w, int controller, const struct ow_cloud_request *request);

#endif
