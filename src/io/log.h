/** @file
 * Log output: writes GLib's messages to standard error, one line each: level, space, message.
 *
 * State: the levels that are written are global to the process. */
#ifndef OW_IO_LOG_H
#define OW_IO_LOG_H

/** Directs GLib's messages to standard error. Must be called once, before anything is logged.
 * @param level "error", "info" or "debug": the least severe level that is written. NULL and any other value
 * mean "error". */
void ow_log_setup(const char *level);

#endif
