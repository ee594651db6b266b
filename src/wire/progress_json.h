/** @file
 * The stored form of the progress of jobs: which tasks are done, and which attempts may exist, in chunks of
 * tasks.
 *
 * A value in the key-value store holds several records: `{"<job>/<chunk>": record, ...}`. If the chunk size
 * is not OW_CHUNK_MAX_TASKS, the name of a record includes it: `"<job>/<chunk>.<tasks>"`.
 */
#ifndef OW_WIRE_PROGRESS_JSON_H
#define OW_WIRE_PROGRESS_JSON_H

#include "model/records.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct json_t;

/** Encodes a record. @return owned by the caller (g_free) */
char *wire_progress_record_encode(const struct ow_progress_record *record);

/**
 * Decodes a record.
 * @param record set to everything that can be read, even on failure; cleared by the caller
 * @return false if any part of the record is invalid
 */
bool wire_progress_record_decode(const struct json_t *value, struct ow_progress_record *record);

/** Frees the members of a record, not the struct itself. */
void wire_progress_record_clear(struct ow_progress_record *record);

/**
 * Appends an encoded record to the text of a value.
 * @param text empty before the first record
 * @param job id of the job
 * @param chunk index of the chunk in the job, from 0
 * @param tasks chunk size of the job, in tasks
 * @param record the encoded record
 */
void wire_progress_value_add(GString *text, const char *job, uint32_t chunk, uint32_t tasks,
                             const char *record);

/** Completes the text of a value after the last record. Without records, it becomes an empty object. */
void wire_progress_value_end(GString *text);

/**
 * Decodes the name of a record.
 * @param chunk set to the index of the chunk, even on failure
 * @param tasks set to the chunk size of the job, in tasks, even on failure
 * @return id of the job, owned by the caller (g_free); NULL if the name is invalid
 */
char *wire_progress_name_decode(const char *name, uint32_t *chunk, uint32_t *tasks);

#endif
