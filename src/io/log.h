/* GLib's log, written to standard error at the level that LOG_LEVEL names. */
#ifndef OW_IO_LOG_H
#define OW_IO_LOG_H

/* `level` is "error", "info" or "debug"; NULL and anything else count as "error". */
void ow_log_setup(const char *level);

#endif
