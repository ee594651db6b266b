/** @file
 * Encoding of the descriptions of jobs, which users upload for the agents.
 */
#ifndef OW_WIRE_DESCRIPTION_JSON_H
#define OW_WIRE_DESCRIPTION_JSON_H

#include "model/submission.h"

#include <glib.h>
#include <stddef.h>

/** The description of a job that its user uploads for the machines: the submission and the command of each
 * task. */
struct wire_job_description {
    struct ow_submission *submission;
    char **command; /**< command line, NULL-terminated; not empty */
};

/** Decodes a job's description. @param text `size` bytes @return owned by the caller; NULL if malformed */
struct wire_job_description *wire_job_description_decode(const char *text, size_t size);

/** Frees a description and its members. @param description may be NULL */
void wire_job_description_free(struct wire_job_description *description);

/** Enables g_autoptr(wire_job_description). */
typedef struct wire_job_description wire_job_description;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(wire_job_description, wire_job_description_free)

#endif
