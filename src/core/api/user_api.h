/* Users' requests: submissions, polls and cancellations. */
#ifndef OW_CORE_API_USER_API_H
#define OW_CORE_API_USER_API_H

#include "core/types.h"

struct ow_job;
struct ow_controller;

/* Takes over `submission`. */
void ow_user_api_submit(struct ow_controller *controller, uint64_t request, struct ow_submission *submission);
/* A submission that can't be read but for its id; `fault` must stay. */
void ow_user_api_malformed(struct ow_controller *controller, uint64_t request, const char *id,
                           const char *fault);
void ow_user_api_poll(struct ow_controller *controller, uint64_t request, const char *id);
void ow_user_api_teams(struct ow_controller *controller, uint64_t request);
/* The answer itself, once a leader has acknowledged its cancellation. */
void ow_user_api_answer_job(struct ow_controller *controller, uint64_t request, int status,
                            const struct ow_job *job);
void ow_user_api_cancel(struct ow_controller *controller, uint64_t request, const char *id);

#endif
