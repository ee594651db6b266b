/** @file
 * The stored form of the controllers' records, except for progress (progress_json.h) and machine types
 * (cloud_json.h). Every version reads the names and values of their fields, so they never change.
 */
#ifndef OW_WIRE_RECORDS_JSON_H
#define OW_WIRE_RECORDS_JSON_H

#include "model/records.h"

#include <stdbool.h>

struct json_t;

/** Encodes a job's record: its submission, or its final state. @return owned by the caller (g_free) */
char *wire_job_record_encode(const struct ow_job_record *record);

/**
 * Decodes a job's record.
 * @param record set to everything that can be read, even on failure; the caller owns its submission
 * @return false if the record has neither a final state nor a valid submission
 */
bool wire_job_record_decode(const struct json_t *value, struct ow_job_record *record);

/**
 * Encodes the value of the leader key.
 * @param controller name of the leader
 * @param nonce distinguishes processes of the same name
 * @return owned by the caller (g_free)
 */
char *wire_leader_record_encode(const char *controller, const char *nonce);

/** Decodes the value of the leader key. @param controller, nonce set to strings of the value, or NULL if
 * absent */
void wire_leader_record_decode(const struct json_t *value, const char **controller, const char **nonce);

/**
 * Encodes the value of the format key.
 * @param format the newest that every controller reads
 * @return owned by the caller (g_free)
 */
char *wire_format_record_encode(unsigned format);

/** Decodes the value of the format key. @return OW_FORMAT_FIRST if the field is missing */
unsigned wire_format_record_decode(const struct json_t *value);

#endif
