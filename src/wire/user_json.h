/** @file
 * Encodes the bodies of answers to users and operators. All returned strings are owned by the caller
 * (g_free).
 */
#ifndef OW_WIRE_USER_JSON_H
#define OW_WIRE_USER_JSON_H

#include "model/submission.h"

#include <glib.h>

/** The state of a job as shown to its user. It borrows its strings. */
struct wire_job_view {
    const char *id;
    enum ow_job_state state;
    int done;           /**< tasks; omitted if OW_TASK_COUNT_UNKNOWN */
    int running;        /**< tasks; omitted if OW_TASK_COUNT_UNKNOWN */
    const char *reason; /**< why it waits; omitted if NULL */
};

/** Encodes the state of a job; unknown task counts and a NULL reason are omitted. */
char *wire_job_view_encode(const struct wire_job_view *view);

/** Encodes the resources that teams use and wait for. @param teams struct ow_team_view */
char *wire_teams_encode(const GArray *teams);

/** Encodes an error. @param message not NULL */
char *wire_error_encode(const char *message);

#endif
