/** @file
 * A job as submitted by its user: the body of a submission, its stored form, and its description on a
 * machine.
 */
#ifndef OW_WIRE_SUBMISSION_JSON_H
#define OW_WIRE_SUBMISSION_JSON_H

#include "model/submission.h"
#include "wire/json_fields.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** Error domain of submissions, for GError. The messages are shown to the user. */
#define WIRE_SUBMISSION_ERROR (wire_submission_error_quark())
/** Returns the quark of WIRE_SUBMISSION_ERROR. */
GQuark wire_submission_error_quark(void);

/** Error codes in the domain WIRE_SUBMISSION_ERROR. */
enum wire_submission_error {
    WIRE_SUBMISSION_ERROR_NOT_AN_OBJECT, /**< the text is not one JSON object */
    WIRE_SUBMISSION_ERROR_FIELD,    /**< a field is missing or invalid; the message begins with its name */
    WIRE_SUBMISSION_ERROR_ESTIMATE, /**< the estimated duration does not fit the kind of the job */
};

/** The known fields of a submission. */
extern const struct wire_json_fields wire_submission_fields;

/**
 * Decodes a submission from a user.
 * @param text `size` bytes
 * @param id OW_ID_MAX + 1 bytes: set to the job's id if it is valid, even on failure; otherwise to an empty
 * string
 * @param error set on failure (WIRE_SUBMISSION_ERROR, for the first invalid field); may be NULL
 * @return owned by the caller; NULL on failure
 */
struct ow_submission *wire_submission_decode(const char *text, size_t size, char *id, GError **error);

/**
 * Reads a submission from its stored form. Does not check whether the estimated duration fits the kind: a
 * stored submission has been accepted, possibly by a version with other rules, and must stay readable.
 * @param error set on failure (WIRE_SUBMISSION_ERROR_FIELD); may be NULL
 * @return owned by the caller; NULL on failure
 */
struct ow_submission *wire_submission_from_json(const json_t *object, GError **error);

/**
 * Converts a submission from a user, whose fields must also fit each other.
 * @param error set if a field is invalid, or inconsistent with another one; may be NULL
 * @return owned by the caller; NULL on error
 */
struct ow_submission *wire_submission_from_user_json(const json_t *object, GError **error);

/** Converts a submission to its stored form. @return a new reference */
json_t *wire_submission_to_json(const struct ow_submission *submission);

/** Whether the text is a well-formed job id. @param id may be NULL, which is not */
bool wire_job_id_is_valid(const char *id);

#endif
