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

struct ow_leader;

/** Reads the stored format while it is unknown, and raises it once every controller supports the newest one.
 */
void ow_record_format_tick(struct ow_leader *leader);

#endif
