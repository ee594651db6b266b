/** @file
 * The stored form of our own records, except for progress (progress_json.h) and machine types (cloud_json.h).
 * Names and values of their fields are read by every version and never change.
 */
#ifndef OW_WIRE_RECORDS_JSON_H
#define OW_WIRE_RECORDS_JSON_H

#include "model/records.h"

#include <stdbool.h>

struct json_t;

/** The text of a job's record: its submission, or how it ended. @return owned by the caller (g_free) */
char *wire_job_record_encode(const struct ow_job_record *record);

/**
 * Reads a job's record.
 * @param record filled in with what can be read, in any case; its submission is the caller's
 * @return false if it can't be read: neither how the job ended, nor its submission
 */
bool wire_job_record_decode(const struct json_t *value, struct ow_job_record *record);

/**
 * The text of the leader key: who leads.
 * @param controller name of the leader
 * @param nonce tells two processes of the same name apart
 * @return owned by the caller (g_free)
 */
char *wire_leader_record_encode(const char *controller, const char *nonce);

/** Reads the leader key. @param controller, nonce set to texts that the value owns; NULL: not in it */
void wire_leader_record_decode(const struct json_t *value, const char **controller, const char **nonce);

/** The text of the format key. @param format the newest that every controller reads @return owned (g_free) */
char *wire_format_record_encode(unsigned format);

/** Reads the format key. @return the first format if there is none in it */
unsigned wire_format_record_decode(const struct json_t *value);

#endif
