/* GLib's log, written to standard error at the level that LOG_LEVEL names. */
#ifndef OW_IO_LOG_H
#define OW_IO_LOG_H

void ow_log_setup(const char *level);

#endif
