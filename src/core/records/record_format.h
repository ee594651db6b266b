/** @file
 * Decides in which format records may be written: the newest one that every controller is known to read.
 *
 * A controller of an earlier version may become leader and would lose records that it can't read. So the
 * newest format is used only if the stored format (OW_KEY_FORMAT) permits it, and the stored format is raised
 * only once every controller has announced that it reads the new one. It is never lowered, and binds later
 * leaders: a controller must not be downgraded to a version that can't read a format that it has announced.
 */
#ifndef OW_CORE_RECORDS_RECORD_FORMAT_H
#define OW_CORE_RECORDS_RECORD_FORMAT_H

#include <stdbool.h>

struct ow_leader;
struct ow_record_format;

/** Creates the state with an unknown format; freed by ow_record_format_free(). */
struct ow_record_format *ow_record_format_new(void);
/** Frees the state; NULL is allowed. */
void ow_record_format_free(struct ow_record_format *format);
/** Whether the stored format has been read. It becomes unknown again when
 * the comparisons of a write of it fail. */
bool ow_record_format_is_known(const struct ow_record_format *format);
/** Whether chunks may be recorded that have fewer tasks than OW_CHUNK_MAX_TASKS. */
bool ow_record_format_has_small_chunks(const struct ow_record_format *format);
/** Reads the stored format while it is unknown, and raises it once every controller supports the newest one.
 */
void ow_record_format_tick(struct ow_leader *leader);

#endif
