/** @file
 * The log: GLib's messages, written to standard error, a line each: the level, a space and the message.
 *
 * State: the levels that are shown are one for the whole process. */
#ifndef OW_IO_LOG_H
#define OW_IO_LOG_H

/** Directs GLib's messages to standard error from now on. Called once, before anything is logged.
 * @param level "error", "info" or "debug": the least important level that is shown. NULL and anything else
 * count as "error". */
void ow_log_setup(const char *level);

#endif
