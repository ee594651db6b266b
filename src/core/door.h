/* Users' requests: submissions, polls and withdrawals. */
#ifndef OW_CORE_DOOR_H
#define OW_CORE_DOOR_H

#include "core/types.h"

struct ow_job;
struct ow_node;

/* Takes over `submission`. */
void ow_door_submit(struct ow_node *node, uint64_t request, struct ow_submission *submission);
/* A submission that can't be read but for its id; `fault` must stay. */
void ow_door_malformed(struct ow_node *node, uint64_t request, const char *id, const char *fault);
void ow_door_poll(struct ow_node *node, uint64_t request, const char *id);
void ow_door_teams(struct ow_node *node, uint64_t request);
/* The answer itself, once a coordinator has given its word. */
void ow_door_answer_job(struct ow_node *node, uint64_t request, int status, const struct ow_job *job);
void ow_door_withdraw(struct ow_node *node, uint64_t request, const char *id);

#endif
