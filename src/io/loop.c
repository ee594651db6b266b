#include "io/loop.h"

#include <glib.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

/* Maximum number of events in a batch. */
enum { BATCH_EVENTS = 64 };

/* Longest time from one round to the next while all batches are full: what has arrived is read before a round
   makes decisions. */
static const double SATURATED_ROUND_INTERVAL_S = 0.25;

static const double MS_PER_S = 1000.0, S_PER_NS = 1e-9;

struct ow_loop {
    int epoll_fd;
    double now;    /* monotonic time of the current batch */
    double wait_s; /* waiting time that the last round returned */
    ow_wake_fn wake;
    void *wake_owner;
    int ready_count;         /* number of events in the current batch; 0 between batches */
    bool is_saturated;       /* the last batch was full */
    double round_at;         /* time of the batch before the last round */
    double overload_round_s; /* duration of the last round if its batch was full, else 0 */
    struct ow_loop_load load;
    struct epoll_event ready[BATCH_EVENTS];
};

static double monotonic_now(void)
{
    struct timespec time;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec + (double)time.tv_nsec * S_PER_NS;
}

struct ow_loop *ow_loop_new(void)
{
    int epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (epoll_fd < 0)
        return NULL;
    struct ow_loop *loop = g_new0(struct ow_loop, 1);
    loop->epoll_fd = epoll_fd;
    loop->now = monotonic_now();
    return loop;
}

void ow_loop_free(struct ow_loop *loop)
{
    if (loop == NULL)
        return;
    close(loop->epoll_fd);
    g_free(loop);
}

void ow_loop_set_wake_callback(struct ow_loop *loop, ow_wake_fn wake, void *owner)
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
    struct epoll_event event = {.events = events, .data.ptr = watch};
    watch->events = events;
    return epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, watch->fd, &event) == 0;
}

void ow_loop_change(struct ow_loop *loop, struct ow_watch *watch, uint32_t events)
{
    if (watch->events == events)
        return;
    struct epoll_event event = {.events = events, .data.ptr = watch};
    watch->events = events;
    epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, watch->fd, &event);
}

/* Discards the events of a watch that is closed by the callback of another one: its own callback must not
   run, because its owner may have been freed. */
static void discard_fetched_events(struct ow_loop *loop, const struct ow_watch *watch)
{
    for (int i = 0; i < loop->ready_count; i++) {
        if (loop->ready[i].data.ptr == watch)
            loop->ready[i].data.ptr = NULL;
    }
}

void ow_loop_close(struct ow_loop *loop, struct ow_watch *watch)
{
    if (watch->fd == OW_LOOP_NO_DESCRIPTOR)
        return;
    epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
    discard_fetched_events(loop, watch);
    close(watch->fd);
    watch->fd = OW_LOOP_NO_DESCRIPTOR;
}

bool ow_loop_is_saturated(const struct ow_loop *loop)
{
    return loop->is_saturated;
}

static void note_load(struct ow_loop *loop, double round_s)
{
    loop->load.rounds++;
    loop->load.saturated_rounds += loop->is_saturated ? 1 : 0;
    loop->load.longest_round_s = MAX(loop->load.longest_round_s, round_s);
}

struct ow_loop_load ow_loop_take_load(struct ow_loop *loop)
{
    struct ow_loop_load load = loop->load;
    loop->load = (struct ow_loop_load){0};
    return load;
}

/* Waits for a batch of events, for at most the time that the last round returned, rounded up to 1 ms. */
static void fetch_events(struct ow_loop *loop)
{
    int wait_ms = (int)(loop->wait_s * MS_PER_S) + 1;
    double last_batch_at = loop->now;
    int count = epoll_wait(loop->epoll_fd, loop->ready, BATCH_EVENTS, wait_ms);
    loop->now = monotonic_now();
    /* Lateness is measured from the last batch: the process may have been paused at any point since. */
    if (loop->wake != NULL)
        loop->wake(loop->wake_owner, loop->now - last_batch_at - loop->wait_s, loop->now);
    loop->ready_count = MAX(count, 0);
    loop->is_saturated = count == BATCH_EVENTS;
    note_load(loop, loop->now - last_batch_at);
}

static void call_watches(struct ow_loop *loop)
{
    for (int i = 0; i < loop->ready_count; i++) {
        struct ow_watch *watch = loop->ready[i].data.ptr;
        if (watch != NULL)
            watch->ready(watch->owner, loop->ready[i].events);
    }
    loop->ready_count = 0;
}

static bool is_round_due(const struct ow_loop *loop)
{
    return !loop->is_saturated || loop->now - loop->round_at >= SATURATED_ROUND_INTERVAL_S;
}

double ow_loop_overload_round_s(const struct ow_loop *loop)
{
    return loop->overload_round_s;
}

static void call_round(struct ow_loop *loop, ow_round_fn round, void *owner)
{
    double started_at = loop->is_saturated ? monotonic_now() : 0;
    loop->round_at = loop->now;
    loop->wait_s = round(owner, loop->now);
    loop->overload_round_s = loop->is_saturated ? monotonic_now() - started_at : 0;
}

void ow_loop_once(struct ow_loop *loop, ow_round_fn round, void *owner)
{
    fetch_events(loop);
    call_watches(loop);
    if (is_round_due(loop))
        call_round(loop, round, owner);
    else
        loop->wait_s = 0;
}

void ow_loop_run(struct ow_loop *loop, ow_round_fn round, void *owner)
{
    for (;;)
        ow_loop_once(loop, round, owner);
}
