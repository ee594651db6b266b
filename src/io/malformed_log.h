/** @file
 * Log of messages that can't be read: one line for each up to a bounded rate, and the number of all of them
 * in a periodic line.
 *
 * The daemon owns the log. Times are those of the loop's clock.
 */
#ifndef OW_IO_MALFORMED_LOG_H
#define OW_IO_MALFORMED_LOG_H

#include <glib.h>
#include <stddef.h>

/** The interface that a message comes in by. */
enum ow_message_interface {
    OW_INTERFACE_USER,   /**< a request of a user */
    OW_INTERFACE_WORKER, /**< a heartbeat, or a worker's answer to commands */
    OW_INTERFACE_CLOUD,  /**< a reply of the cloud */
    OW_INTERFACE_STORE,  /**< a reply of the key-value store */
};

/** The log. The creator frees it with ow_malformed_log_free(). */
struct ow_malformed_log;
typedef struct ow_malformed_log ow_malformed_log; /**< for g_autoptr */

/** A message that can't be read. It borrows its strings. */
struct ow_malformed_message {
    enum ow_message_interface interface;
    const char *endpoint; /**< ADDRESS:PORT of the sender; NULL: unknown */
    size_t bytes;         /**< size of the body */
    const char *reason;   /**< which part of it, and what is wrong; escaped where it shows the text */
};

/** Creates a log. */
struct ow_malformed_log *ow_malformed_log_new(double now);
/** Frees the log. NULL is allowed. */
void ow_malformed_log_free(struct ow_malformed_log *log);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_malformed_log, ow_malformed_log_free)

/** Counts a message, and logs it unless its interface has had too many lines: a user's at `info`, because it
 * is the user who has to correct it, others as warnings. */
void ow_malformed_log_note(struct ow_malformed_log *log, const struct ow_malformed_message *message,
                           double now);
/** Logs the number of messages since the last call as one line, unless there were none. */
void ow_malformed_log_flush(struct ow_malformed_log *log);

#endif
