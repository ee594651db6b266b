/** @file
 * The event loop: epoll on one thread, a callback for each ready descriptor, and one round after each batch.
 *
 * Invariants:
 *  - All callbacks run on the thread that runs the loop, one after the other; none is called from inside
 *    ow_loop_watch, ow_loop_change or ow_loop_close.
 *  - A ready callback and a round may close any watch, also the current one: its events that were already
 *    fetched are dropped.
 *  - Descriptors: what ow_net_listen, ow_net_connect and ow_net_accept return belongs to the caller until it
 *    is set in a watch; from then on it belongs to the watch, and ow_loop_close, the one place that closes
 *    descriptors of watches, closes it. The memory of a watch stays its caller's.
 */
#ifndef OW_IO_LOOP_H
#define OW_IO_LOOP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The loop. Its creator frees it, after everything that has watches in it. */
struct ow_loop;
typedef struct ow_loop ow_loop; /**< for g_autoptr */

/** A descriptor is ready.
 * @param owner that of the watch; it lives as long as the watch
 * @param events the epoll events that are ready */
typedef void (*ow_ready_fn)(void *owner, uint32_t events);

/** Called once after every batch of ready descriptors.
 * @param owner what was handed to ow_loop_run or ow_loop_once; it must outlive that call
 * @param now the monotonic time of the batch, in seconds
 * @return for how many seconds the loop may wait for descriptors before the next round */
typedef double (*ow_round_fn)(void *owner, double now);

/** Called when the loop has finished waiting, before the callbacks of the batch.
 *
 * Known fault: the events of the batch are fetched by then, but not counted yet. So ow_loop_close does not
 * drop those of a watch that this function closes, and its owner, freed by then, is called with them.
 * @param owner what was handed to ow_loop_set_wake_callback; it must live as long as the loop runs
 * @param late_s seconds since the last batch beyond the waiting time that the last round allowed; negative if
 * the loop woke up earlier
 * @param now the monotonic time of the batch, in seconds */
typedef void (*ow_wake_fn)(void *owner, double late_s, double now);

/** @return a new loop, or NULL if the system has no epoll descriptor to give */
struct ow_loop *ow_loop_new(void);
/** Frees the loop, not the watches. NULL is allowed. */
void ow_loop_free(struct ow_loop *loop);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_loop, ow_loop_free)

/** Sets the function that is called whenever the loop has finished waiting; `owner` is passed to it. */
void ow_loop_set_wake_callback(struct ow_loop *loop, ow_wake_fn wake, void *owner);
/** The monotonic time of the current batch, in seconds. */
double ow_loop_now(const struct ow_loop *loop);

enum { OW_LOOP_NO_DESCRIPTOR = -1 };

/** A descriptor in the loop. The memory is the caller's and must live until ow_loop_close. */
struct ow_watch {
    int fd;            /**< owned by the watch; OW_LOOP_NO_DESCRIPTOR: none */
    uint32_t events;   /**< the epoll events that are watched for; kept by the loop */
    ow_ready_fn ready; /**< called when the descriptor is ready */
    void *owner;       /**< handed to `ready`; must live until ow_loop_close */
};

/** Begins to watch the descriptor.
 * @param loop the loop
 * @param watch filled in by the caller but for `events`; it must live until ow_loop_close
 * @param events the epoll events to watch for
 * @return false if the system refuses; the watch must be closed all the same */
bool ow_loop_watch(struct ow_loop *loop, struct ow_watch *watch, uint32_t events);
/** Watches for these epoll events from now on, in place of the earlier ones. */
void ow_loop_change(struct ow_loop *loop, struct ow_watch *watch, uint32_t events);
/** Ends the watch, drops its events in the rest of the current batch and closes its descriptor, which is
 * OW_LOOP_NO_DESCRIPTOR afterwards. Without a descriptor nothing happens. */
void ow_loop_close(struct ow_loop *loop, struct ow_watch *watch);

/** Whether more descriptors may be ready than the current batch holds: they are handled in later batches. */
bool ow_loop_is_saturated(const struct ow_loop *loop);
/** Repeats ow_loop_once and never returns. */
void ow_loop_run(struct ow_loop *loop, ow_round_fn round, void *owner);
/** One batch of ready descriptors and one round. Tests and the command line client drive the loop with it. */
void ow_loop_once(struct ow_loop *loop, ow_round_fn round, void *owner);

#endif
