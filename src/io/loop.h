/** @file
 * The event loop: epoll on one thread, with a callback for each ready descriptor and one round after each
 * batch of events.
 *
 * Invariants:
 *  - All callbacks run sequentially on the thread that runs the loop; none is called from inside
 *    ow_loop_watch, ow_loop_change or ow_loop_close.
 *  - A ready callback or a round may close any watch, including the current one: events of it that have been
 *    fetched already are discarded.
 *  - A descriptor returned by ow_net_listen, ow_net_connect or ow_net_accept belongs to the caller until it
 *    is set in a watch. Then it belongs to the watch, and only ow_loop_close closes it. The memory of a
 *    watch belongs to the caller.
 */
#ifndef OW_IO_LOOP_H
#define OW_IO_LOOP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** An event loop. The creator frees it, after the owners of all its watches. */
struct ow_loop;
typedef struct ow_loop ow_loop; /**< for g_autoptr */

/** Called when a descriptor is ready.
 * @param owner of the watch
 * @param events the epoll events that are ready */
typedef void (*ow_ready_fn)(void *owner, uint32_t events);

/** Called once after every batch of ready descriptors; while all batches are full, several times a second.
 * @param owner as passed to ow_loop_run or ow_loop_once
 * @param now monotonic time of the batch, in seconds
 * @return for how many seconds the loop may wait for descriptors before the next round */
typedef double (*ow_round_fn)(void *owner, double now);

/** Called when the loop has finished waiting, before the callbacks of the batch.
 *
 * Known fault: the events of the batch have been fetched by then, but are not counted yet. If this function
 * closes a watch, ow_loop_close therefore does not discard its events, and its owner is called with them
 * after it has been freed.
 * @param owner as passed to ow_loop_set_wake_callback; must live as long as the loop runs
 * @param late_s seconds since the last batch in excess of the waiting time that the last round returned;
 * negative if the loop woke up earlier
 * @param now monotonic time of the batch, in seconds */
typedef void (*ow_wake_fn)(void *owner, double late_s, double now);

/** Creates a loop. @return NULL if no epoll descriptor can be created */
struct ow_loop *ow_loop_new(void);
/** Frees the loop, not the watches. NULL is allowed. */
void ow_loop_free(struct ow_loop *loop);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_loop, ow_loop_free)

/** The load of a loop since the last call of ow_loop_take_load(). */
struct ow_loop_load {
    unsigned rounds;
    unsigned saturated_rounds; /**< whose batch was full */
    double longest_round_s;    /**< from one batch to the next, waiting included */
};

/** Returns the load since the last call. */
struct ow_loop_load ow_loop_take_load(struct ow_loop *loop);

/** Sets the function that is called whenever the loop has finished waiting. NULL removes it. */
void ow_loop_set_wake_callback(struct ow_loop *loop, ow_wake_fn wake, void *owner);
/** Returns the monotonic time of the current batch, in seconds. */
double ow_loop_now(const struct ow_loop *loop);

/** The descriptor of a watch that has none. */
enum { OW_LOOP_NO_DESCRIPTOR = -1 };

/** A descriptor in the loop. The caller owns the memory, which must live until ow_loop_close. */
struct ow_watch {
    int fd;            /**< owned by the watch; OW_LOOP_NO_DESCRIPTOR: none */
    uint32_t events;   /**< the epoll events to watch for; written by the loop */
    ow_ready_fn ready; /**< called when the descriptor is ready */
    void *owner;       /**< passed to `ready`; must live until ow_loop_close */
};

/** Begins to watch the descriptor.
 * @param loop the loop
 * @param watch initialized by the caller, except for `events`
 * @param events the epoll events to watch for
 * @return false on failure; the watch must be closed in any case */
bool ow_loop_watch(struct ow_loop *loop, struct ow_watch *watch, uint32_t events);
/** Replaces the epoll events that are watched for. */
void ow_loop_change(struct ow_loop *loop, struct ow_watch *watch, uint32_t events);
/** Ends the watch, discards its events in the current batch and closes its descriptor, which is then
 * OW_LOOP_NO_DESCRIPTOR. Does nothing if the watch has no descriptor. */
void ow_loop_close(struct ow_loop *loop, struct ow_watch *watch);

/** Whether the current batch is full. More descriptors may then be ready, to be handled in later batches. */
bool ow_loop_is_saturated(const struct ow_loop *loop);
/** The duration of the last round, in seconds, if there were more ready descriptors than the loop had time
 * for before that round; else 0. */
double ow_loop_overload_round_s(const struct ow_loop *loop);
/** Runs the loop; never returns. */
void ow_loop_run(struct ow_loop *loop, ow_round_fn round, void *owner);
/** Handles one batch of ready descriptors, and a round if that is due. For tests and the command line client.
 */
void ow_loop_once(struct ow_loop *loop, ow_round_fn round, void *owner);

#endif
