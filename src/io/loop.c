#include "io/loop.h"

#include <glib.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

/* Events taken from the system at a time. */
enum { BATCH = 64 };

struct ow_loop {
    int epoll_fd;
    double now;
    double pause; /* what the last round asked for */
    ow_wake_fn wake;
    void *wake_owner;
    int ready_count;
    bool saturated; /* the last batch was full */
    struct epoll_event ready[BATCH];
};

static double steady_now(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec * 1e-9;
}

struct ow_loop *ow_loop_new(void)
{
    struct ow_loop *loop = g_new0(struct ow_loop, 1);
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (loop->epoll_fd < 0) {
        g_free(loop);
        return NULL;
    }
    loop->now = steady_now();
    return loop;
}

void ow_loop_free(struct ow_loop *loop)
{
    if (loop == NULL)
        return;
    close(loop->epoll_fd);
    g_free(loop);
}

void ow_loop_on_wake(struct ow_loop *loop, ow_wake_fn wake, void *owner)
{
    loop->wake = wake;
    loop->wake_owner = owner;
}

double ow_loop_now(const struct ow_loop *loop)
{
    return loop->now;
}

bool ow_loop_watch(struct ow_loop *loop, struct ow_watch *watch, uint32_t events)
{
    struct epoll_event ev = {.events = events, .data.ptr = watch};
    watch->events = events;
    return epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, watch->fd, &ev) == 0;
}

void ow_loop_change(struct ow_loop *loop, struct ow_watch *watch, uint32_t events)
{
    if (watch->events == events)
        return;
    struct epoll_event ev = {.events = events, .data.ptr = watch};
    watch->events = events;
    epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, watch->fd, &ev);
}

void ow_loop_forget(struct ow_loop *loop, struct ow_watch *watch)
{
    epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
    /* A callback may close another connection whose event is already fetched:
       it must not be called with freed memory. */
    for (int i = 0; i < loop->ready_count; i++)
        if (loop->ready[i].data.ptr == watch)
            loop->ready[i].data.ptr = NULL;
}

bool ow_loop_is_saturated(const struct ow_loop *loop)
{
    return loop->saturated;
}

void ow_loop_once(struct ow_loop *loop, ow_round_fn round, void *owner)
{
    int pause_ms = (int)(loop->pause * 1000.0) + 1;
    double before = loop->now;
    int n = epoll_wait(loop->epoll_fd, loop->ready, BATCH, pause_ms);
    loop->now = steady_now();
    /* From the last batch on: the process may have stood still anywhere since. */
    if (loop->wake != NULL)
        loop->wake(loop->wake_owner, loop->now - before - loop->pause, loop->now);
    loop->ready_count = n > 0 ? n : 0;
    loop->saturated = n == BATCH;
    for (int i = 0; i < loop->ready_count; i++) {
        struct ow_watch *watch = loop->ready[i].data.ptr;
        if (watch != NULL)
            watch->ready(watch->owner, loop->ready[i].events);
    }
    loop->ready_count = 0;
    loop->pause = round(owner, loop->now);
}

void ow_loop_run(struct ow_loop *loop, ow_round_fn round, void *owner)
{
    for (;;)
        ow_loop_once(loop, round, owner);
}
