/** @file
 * The format in which records may be written: the newest one that every controller is known to read.
 *
 * A controller of an earlier version may still become leader, and would drop what it can't read. So the
 * newest format is written only once the key-value store says so (OW_KEY_FORMAT), and that is written only
 * once every controller has been heard to support it. The decision is never taken back: a controller that
 * supports a format never comes back as an earlier version. It holds for later leaders.
 */
#ifndef OW_CORE_RECORDS_RECORD_FORMAT_H
#define OW_CORE_RECORDS_RECORD_FORMAT_H

#include <stdbool.h>

struct ow_leader;
struct ow_record_format;

/** The format is not known yet; freed by ow_record_format_free(). */
struct ow_record_format *ow_record_format_new(void);
/** Frees it. */
void ow_record_format_free(struct ow_record_format *format);
/** Whether the stored format has been read. It may become unknown again while a change of it is in doubt. */
bool ow_record_format_is_known(const struct ow_record_format *format);
/** Whether chunks may be recorded that have fewer tasks than OW_CHUNK_MAX_TASKS. */
bool ow_record_format_has_small_chunks(const struct ow_record_format *format);
/** Reads the stored format while it is unknown, and raises it once every controller supports the newest one.
 */
void ow_record_format_tick(struct ow_leader *leader);

#endif
