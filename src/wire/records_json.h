/* The stored form of our own records. */
#ifndef OW_WIRE_RECORDS_JSON_H
#define OW_WIRE_RECORDS_JSON_H

#include "model/records.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct json_t;

/* All texts are the caller's (g_free). */

/* A job: its submission, or how it ended. */
char *wire_job_record_encode(const struct ow_job_record *record);
/* False if it can't be read. The submission is the caller's. */
bool wire_job_record_decode(const struct json_t *value, struct ow_job_record *out);

/* What is done, and which attempts may exist, of the tasks of one chunk. */
char *wire_progress_record_encode(const struct ow_progress_record *record);
/* False if it can't be read in full; *out then holds what could be. */
bool wire_progress_record_decode(const struct json_t *value, struct ow_progress_record *out);
/* Frees what it holds. */
void wire_progress_record_clear(struct ow_progress_record *record);

/* Several of them in one value: "<job>/<chunk>" -> record, or "<job>/<chunk>.<tasks>" where chunks have not
   OW_CHUNK_MAX_TASKS. Records are added one by one, then comes the end. */
void wire_progress_value_add(GString *text, const char *job, uint32_t chunk, uint32_t tasks,
                             const char *record);
void wire_progress_value_end(GString *text);
/* The job's id, which the caller frees, the chunk of a record's name and how many tasks such chunks have;
   NULL if it is none. */
char *wire_progress_name_decode(const char *name, uint32_t *chunk, uint32_t *tasks);

/* Who leads. `nonce` tells two processes of the same name apart. */
char *wire_leader_record_encode(const char *controller, const char *nonce);
/* Both may come back NULL; the texts stay the value's. */
void wire_leader_record_decode(const struct json_t *value, const char **controller, const char **nonce);

/* The newest format of records that every controller reads. */
char *wire_format_record_encode(unsigned format);
/* The first format if there is none in it. */
unsigned wire_format_record_decode(const struct json_t *value);

#endif
