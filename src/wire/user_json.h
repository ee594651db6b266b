/** @file
 * Bodies of answers to users and operators. All texts are owned by the caller (g_free).
 */
#ifndef OW_WIRE_USER_JSON_H
#define OW_WIRE_USER_JSON_H

#include "model/submission.h"

#include <glib.h>

/** What a user is told of a job. It borrows its texts. */
struct wire_job_view {
    const char *id;
    enum ow_job_state state;
    int done;           /**< tasks; OW_TASK_COUNT_UNKNOWN: left out */
    int running;        /**< tasks; OW_TASK_COUNT_UNKNOWN: left out */
    const char *reason; /**< why it waits; NULL: left out */
};

/** The answer with the state of a job. */
char *wire_job_view_encode(const struct wire_job_view *view);

/** The answer with what teams use and wait for. @param teams struct ow_team_view */
char *wire_teams_encode(const GArray *teams);

/** The answer with an error. @param message not NULL */
char *wire_error_encode(const char *message);

#endif
