/* The event loop: epoll, one thread, readiness callbacks and one periodic round. */
#ifndef OW_IO_LOOP_H
#define OW_IO_LOOP_H

#include <stdbool.h>
#include <stdint.h>

struct ow_loop;

/* Called with the epoll events that are ready on the watched descriptor. */
typedef void (*ow_ready_fn)(void *owner, uint32_t events);

/* Called once after every batch of ready descriptors, at the steady time `now` in seconds; returns how many
   seconds may pass until the next round. */
typedef double (*ow_round_fn)(void *owner, double now);

/* Called when the loop goes on, before anything else, with how many seconds later than it meant to. */
typedef void (*ow_wake_fn)(void *owner, double late_s, double now);

/* NULL if the system has no epoll descriptor to give. */
struct ow_loop *ow_loop_new(void);
void ow_loop_free(struct ow_loop *loop);
/* Sets the function that is called whenever the loop goes on. */
void ow_loop_on_wake(struct ow_loop *loop, ow_wake_fn wake, void *owner);
/* The steady time of the batch at hand, in seconds. */
double ow_loop_now(const struct ow_loop *loop);

/* A watch is owned by the caller and must live until ow_loop_forget. */
struct ow_watch {
    int fd;
    uint32_t events; /* the epoll events that are watched for; kept by the loop */
    ow_ready_fn ready;
    void *owner; /* handed to `ready` */
};

/* Begins to watch the descriptor for these epoll events; false if the system refuses. */
bool ow_loop_watch(struct ow_loop *loop, struct ow_watch *watch, uint32_t events);
/* Watches for other events from now on. */
void ow_loop_change(struct ow_loop *loop, struct ow_watch *watch, uint32_t events);
/* Ends the watch, and drops its events that are still waiting in the current batch. */
void ow_loop_forget(struct ow_loop *loop, struct ow_watch *watch);
/* Whether more descriptors may be ready than the batch at hand has: what comes waits its turn. */
bool ow_loop_is_saturated(const struct ow_loop *loop);
/* Runs for ever. */
void ow_loop_run(struct ow_loop *loop, ow_round_fn round, void *owner);
/* One batch and one round; ow_loop_run repeats it. Tests drive the loop with it. */
void ow_loop_once(struct ow_loop *loop, ow_round_fn round, void *owner);

#endif
