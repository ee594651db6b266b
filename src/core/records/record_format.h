/* The format in which records may be written: the newest one that every controller is known to read. The
 * decision is stored in the key-value store, so that it holds for later leaders. */
#ifndef OW_CORE_RECORDS_RECORD_FORMAT_H
#define OW_CORE_RECORDS_RECORD_FORMAT_H

struct ow_leader;

/* Reads the stored format, and raises it once every controller supports the newest one. */
void ow_record_format_tick(struct ow_leader *leader);

#endif
