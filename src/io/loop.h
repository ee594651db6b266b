/* The event loop: epoll, one thread, readiness callbacks and one periodic round. */
#ifndef OW_IO_LOOP_H
#define OW_IO_LOOP_H

#include <stdbool.h>
#include <stdint.h>

struct ow_loop;

/* Called with the epoll events that are ready on the watched descriptor. */
typedef void (*ow_ready_fn)(void *owner, uint32_t events);

/* Called once after every batch of ready descriptors; returns how many seconds may pass until the next. */
typedef double (*ow_round_fn)(void *owner, double now);

struct ow_loop *ow_loop_new(void);
void ow_loop_free(struct ow_loop *loop);
double ow_loop_now(const struct ow_loop *loop);

/* A watch is owned by the caller and must live until ow_loop_forget. */
struct ow_watch {
    int fd;
    uint32_t events;
    ow_ready_fn ready;
    void *owner;
};

bool ow_loop_watch(struct ow_loop *loop, struct ow_watch *watch, uint32_t events);
void ow_loop_change(struct ow_loop *loop, struct ow_watch *watch, uint32_t events);
/* Also drops events of this watch that are still waiting in the current batch. */
void ow_loop_forget(struct ow_loop *loop, struct ow_watch *watch);
void ow_loop_run(struct ow_loop *loop, ow_round_fn round, void *owner);
/* One batch and one round; ow_loop_run repeats it. Tests drive the loop with it. */
void ow_loop_once(struct ow_loop *loop, ow_round_fn round, void *owner);

#endif
