/* Bodies between users and the service, and the stored form of a job. */
#ifndef OW_WIRE_USER_JSON_H
#define OW_WIRE_USER_JSON_H

#include "model/submission.h"

#include <glib.h>
#include <stdbool.h>
#include <jansson.h>
#include <stddef.h>

/* A submission from a user. NULL when malformed; *fault then names the field and what is wrong with it. `id`
   (OW_ID_MAX + 1 bytes) is the job's if that much can be read, else empty. */
struct ow_submission *wire_submission_decode(const char *text, size_t size, char *id, const char **fault);
/* The same from a JSON object, as it is stored; whether the run time fits the kind is not checked. */
struct ow_submission *wire_submission_from_json(const json_t *object, const char **fault);
/* The reverse: a new reference. */
json_t *wire_submission_to_json(const struct ow_submission *submission);

/* Whether this is the form of a job's id. */
bool wire_job_id_valid(const char *id);

/* What a user is told of a job. */
struct wire_job_view {
    const char *id;
    enum ow_job_state state;
    int done, running;  /* OW_UNCOUNTED: left out */
    const char *reason; /* why it waits, or NULL */
};

/* Bodies of answers to users (g_free). */
char *wire_job_view_encode(const struct wire_job_view *view);
/* `teams` holds struct ow_team_view. */
char *wire_teams_encode(const GArray *teams);
char *wire_error_encode(const char *message);

#endif
