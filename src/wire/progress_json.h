/** @file
 * The stored form of the progress of jobs: which tasks are done, and which attempts may exist, by chunks of
 * tasks.
 *
 * A value of the key-value store holds several records: `{"<job>/<chunk>": record, ...}`. Where chunks have
 * not OW_CHUNK_MAX_TASKS tasks, the name of a record says how many: `"<job>/<chunk>.<tasks>"`.
 */
#ifndef OW_WIRE_PROGRESS_JSON_H
#define OW_WIRE_PROGRESS_JSON_H

#include "model/records.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct json_t;

/** The text of a record. @return owned by the caller (g_free) */
char *wire_progress_record_encode(const struct ow_progress_record *record);

/**
 * Reads a record.
 * @param record filled in with what can be read, in any case; the caller clears it
 * @return false if the record can't be read in full
 */
bool wire_progress_record_decode(const struct json_t *value, struct ow_progress_record *record);

/** Frees what a record holds, not the struct. */
void wire_progress_record_clear(struct ow_progress_record *record);

/**
 * Appends a record to the text of a value, which is empty before the first.
 * @param job id of the job
 * @param chunk index of the chunk in the job, from 0
 * @param tasks how many tasks the job's chunks have
 * @param record text of the record
 */
void wire_progress_value_add(GString *text, const char *job, uint32_t chunk, uint32_t tasks,
                             const char *record);

/** Completes the text of a value behind its last record; without records it becomes an empty object. */
void wire_progress_value_end(GString *text);

/**
 * Reads the name of a record.
 * @param chunk set to the index of the chunk, also on failure
 * @param tasks set to how many tasks the job's chunks have, also on failure
 * @return id of the job, owned by the caller (g_free); NULL if it is no such name
 */
char *wire_progress_name_decode(const char *name, uint32_t *chunk, uint32_t *tasks);

#endif
